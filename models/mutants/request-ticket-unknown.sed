# A ticket without a known outcome is run again.
s/ticket == TICKET_UNKNOWN -> refuse(s, UNKNOWN)/ticket == TICKET_UNKNOWN -> enqueue(s)/
