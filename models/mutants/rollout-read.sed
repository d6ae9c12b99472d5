s|mode\[r\] = (outcome != NONE -> outcome : mode\[r\]); /\* RULE: read \*/|skip;|
