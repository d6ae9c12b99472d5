# A planned stop does not wait for running calls.
s/leaving\[g\] && IDLE(g) ->/leaving[g] ->/
