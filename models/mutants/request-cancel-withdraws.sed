# Cancelling a running call frees its ticket.
s/cancel_net\[s\] = false; set_ticket_unknown(); call/cancel_net[s] = false; withdraw(); call/
