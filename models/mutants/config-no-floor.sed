s|version_floor\[i\] = peers_floor\[i\] /\* FLOOR \*/|skip|
