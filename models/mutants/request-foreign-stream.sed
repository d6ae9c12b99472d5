# Frames of other streams are accepted.
s/(waiting && s == current)/(waiting)/
