s|orphan != 0 \&\& part_revision\[3 - p\] == orphan /\* DELETE \*/|orphan != 0|
