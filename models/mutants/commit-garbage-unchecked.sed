s|part_revision\[3 - p\] < head_revision /\* GARBAGE \*/|true|
