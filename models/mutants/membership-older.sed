s|:: newer(sent\[i\], view\[i\]) -> /\* RULE: only newer records \*/|:: differs(sent[i], view[i]) ->|
