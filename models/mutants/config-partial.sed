s|candidate\[i\] != NONE \&\& whole(candidate\[i\], i) \&\& !blind\[i\] -> /\* WHOLE \*/|candidate[i] != NONE \&\& !blind[i] ->|
