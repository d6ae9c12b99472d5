s|reads_platform(i) \&\& !returning\[i\] \&\& wanted(head, i) -> /\* WATCH \*/|false ->|
