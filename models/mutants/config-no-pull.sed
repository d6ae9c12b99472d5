/\/\* PULL \*\//d
