s/(view\[i\].departed || sent\[i\].departed) \/\* RULE: older \*\//view[i].departed/
