# An attempt is repeated after an unknown outcome.
s/!head \&\& how == NOT_RUN \&\& next < STREAMS -> skip/!head \&\& next < STREAMS -> skip/
