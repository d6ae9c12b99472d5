s|held\[i\] = held\[i\] \& needs(in_force\[i\]); /\* RETAIN \*/|held[i] = held[i] \& 1;|
