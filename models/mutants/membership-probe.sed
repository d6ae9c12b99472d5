s|newer(view\[\([012]\)\], x) -> /\* RULE: notify . \*/|view[\1].state != DOWN \&\& newer(view[\1], x) ->|
