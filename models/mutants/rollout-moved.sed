s|entry == FULL && !old_in_flight && /\* RULE: moved \*/|true \&\&|
