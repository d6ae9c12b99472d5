# The gate sheds a call that was handed to the backend server.
s/call\[s\] == QUEUED -> withdraw(); refuse/(call[s] == QUEUED || call[s] == RUNNING) -> withdraw(); refuse/
