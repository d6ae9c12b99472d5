s|part\[base\] != p /\* REWRITE \*/|part_revision[p] == 0|
