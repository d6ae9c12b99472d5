# A request whose ticket has an outcome is run again.
s/ticket == TICKET_DONE -> call\[s\] = HEAD_DUE/ticket == TICKET_DONE -> enqueue(s)/
