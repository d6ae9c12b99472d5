s|bucket\[n\] = NEW /\* RULE: empty \*/|bucket[n] = BURST|
