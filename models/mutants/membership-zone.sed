s|/\* MUTANT-ZONE \*/|:: declarations < DECLARATIONS \&\& view[2].state < DOWN \&\& misses(2) -> atomic { declare(2) }|
