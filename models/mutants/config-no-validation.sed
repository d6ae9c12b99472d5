s|valid\[candidate\[i\]\] /\* VALIDATE \*/|true|
