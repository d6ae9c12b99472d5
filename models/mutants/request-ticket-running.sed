# A ticket whose request still runs is run again.
s/ticket == TICKET_RUNNING -> refuse(s, UNKNOWN)/ticket == TICKET_RUNNING -> enqueue(s)/
