# A request that still runs under its ticket is run again.
s/ticket == TICKET_RUNNING -> refuse(s, UNKNOWN)/ticket == TICKET_RUNNING -> enqueue(s)/
