s|:: entry == SAMPLE -> entry = STOPPED; was_stopped = true .*|:: entry != STOPPED -> entry = STOPPED; was_stopped = true|
