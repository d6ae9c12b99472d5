s|:: outcome == NONE && revision == expected\[r\] -> /\* RULE: guard \*/|:: outcome == NONE ->|
