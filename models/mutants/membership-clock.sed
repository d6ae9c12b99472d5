s|newer(view\[\([012]\)\], x) -> /\* RULE: tell . \*/|view[\1].state == DOWN \&\& newer(view[\1], x) ->|
