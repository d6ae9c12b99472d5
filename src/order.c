#include "order.h"

/* Place of each class within a rank, 0 first. */
static const int class_places[ROUTE_CLASS_COUNT] = {
    [ROUTE_INTERNAL] = 0, [ROUTE_CALL] = 1, [ROUTE_LOOKUP] = 2, [ROUTE_UPLOAD] = 3};

int
order_compare(order_key_t a, order_key_t b)
{
	if (a.rank != b.rank)
		return a.rank < b.rank ? -1 : 1;
	return class_places[a.route_class] - class_places[b.route_class];
}
