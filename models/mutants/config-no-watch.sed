s|reads_platform(i) \&\& !starting\[i\] \&\& wanted(head, i) -> /\* WATCH \*/|false ->|
