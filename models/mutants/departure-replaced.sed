s/(view\[i\].departed || sent\[i\].departed) \/\* RULE: keep \*\//sent[i].departed/
