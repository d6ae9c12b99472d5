# A broken exchange counts as not run.
s/forget(); refuse(s, UNKNOWN) }/withdraw(); refuse(s, NOT_RUN) }/
