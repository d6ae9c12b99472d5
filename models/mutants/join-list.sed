# Only a node without live members lists the relays.
s/^#define may_list(i) (is_running(i) && (is_alone(i) || holder\[zone_of(i)\] == i))$/#define may_list(i) (is_running(i) \&\& is_alone(i))/
