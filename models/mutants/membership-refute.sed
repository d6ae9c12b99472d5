s|x.inc = sent\[3\].inc + 1;|skip;|
