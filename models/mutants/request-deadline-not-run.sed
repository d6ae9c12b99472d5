# A passed deadline counts as not run although the call was sent.
s/cancel_net\[current\] = true; report(UNKNOWN)/cancel_net[current] = true; report(NOT_RUN)/
