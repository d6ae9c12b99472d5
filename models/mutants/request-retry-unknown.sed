# An attempt is retried after an unknown outcome.
s/!head \&\& how == NOT_RUN \&\& next < STREAMS -> skip/!head \&\& next < STREAMS -> skip/
