# A truncated answer is reported as complete.
s/:: head -> report(UNKNOWN)/:: head -> report(COMPLETE)/
