# A request whose ticket has an unknown outcome is run again.
s/ticket == TICKET_UNKNOWN -> refuse(s, UNKNOWN)/ticket == TICKET_UNKNOWN -> enqueue(s)/
