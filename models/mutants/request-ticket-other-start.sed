# A gate accepts a ticket of an earlier start.
s/!first_start -> refuse(s, UNKNOWN)/!first_start -> enqueue(s)/
