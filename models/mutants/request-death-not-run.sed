# Running calls count as not run when the backend server crashes.
s/job\[s\] = false; request_net\[s\] = false; result\[s\] = RESET/job[s] = false; request_net[s] = false; result[s] = SHED/
