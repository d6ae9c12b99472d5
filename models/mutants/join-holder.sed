# The holder of a contested relay key is not asked.
s/!(addresses\[i\] & bit_of(holder\[zone_of(i)\])) -> \/\* RULE/false -> \/* RULE/
