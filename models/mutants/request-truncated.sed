# A cut answer is passed on as complete.
s/:: head -> report(UNKNOWN)/:: head -> report(WHOLE)/
