# The end of an answer is accepted before its head.
s/ACCEPTS(s) && end_net\[s\] && head ->/ACCEPTS(s) \&\& end_net[s] ->/
