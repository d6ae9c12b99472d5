# An answer cut after its head frees the ticket.
s/call\[s\] == END_DUE -> forget(); call/call[s] == END_DUE -> withdraw(); call/
