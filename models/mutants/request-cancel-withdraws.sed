# Cancelling a running call frees its ticket.
s/cancel_net\[s\] = false; forget(); call/cancel_net[s] = false; withdraw(); call/
