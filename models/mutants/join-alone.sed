# Only a node without live members asks addresses.
s/^#define may_ask(i, j) (!knows(i, j))$/#define may_ask(i, j) (!knows(i, j) \&\& is_alone(i))/
