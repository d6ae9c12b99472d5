s|bucket\[n\]--; /\* RULE: taken \*/|skip;|
