s|x.inc = sent\[3\].inc + 1;|x.inc = sent[3].inc + 1; x.state = ALIVE;|
