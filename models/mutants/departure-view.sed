s/ && !view\[i\].departed) \/\* RULE: view \*\//)/
