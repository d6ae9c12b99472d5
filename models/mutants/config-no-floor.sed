s|lowest\[i\] = heard\[i\] /\* FLOOR \*/|skip|
