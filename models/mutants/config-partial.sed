s|candidate\[i\] != NONE \&\& complete(candidate\[i\], i) \&\& !no_floor\[i\] -> /\* COMPLETE \*/|candidate[i] != NONE \&\& !no_floor[i] ->|
