# A broken exchange counts as not run.
s/set_ticket_unknown(); refuse(s, UNKNOWN) }/withdraw(); refuse(s, NOT_RUN) }/
