s/^\(.*\):: entry == SAMPLE -> entry = FULL .*RULE: forward.*/\1:: true -> entry = FULL/
