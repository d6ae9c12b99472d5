s|head_revision == expect -> /\* SWAP \*/|true ->|
