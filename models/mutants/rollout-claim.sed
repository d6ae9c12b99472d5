s|revision++; /\* RULE: claim \*/|skip;|
