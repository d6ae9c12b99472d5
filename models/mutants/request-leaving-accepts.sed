# A leaving gate accepts new calls.
s/:: leaving\[target\[s\]\] -> refuse(s, NOT_RUN)/:: leaving[target[s]] -> enqueue(s)/
