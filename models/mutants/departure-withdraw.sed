s/view\[0\].ready = false; \/\* RULE: withdraw \*\//skip;/
