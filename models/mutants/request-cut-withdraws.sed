# An answer that ends after its head frees the ticket.
s/call\[s\] == END_DUE -> set_ticket_unknown(); call/call[s] == END_DUE -> withdraw(); call/
