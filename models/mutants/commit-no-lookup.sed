s|(history\[head\] \& bit_of(mine)) /\* LOOKUP \*/|false|
