s/:: !view\[0\].departed -> \/\* RULE: announcement \*\//:: true ->/
