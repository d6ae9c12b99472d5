#include "order.h"

/* Place of each class within a rank, 0 first. */
static const int class_places[ROUTE_CLASS_COUNT] = {
    [ROUTE_INTERNAL] = 0, [ROUTE_CALL] = 1, [ROUTE_LOOKUP] = 2, [ROUTE_UPLOAD] = 3};

int
order_key_compare(order_key_t a, order_key_t b)
{
	bool nested = a.route_class == ROUTE_INTERNAL;

	if (nested != (b.route_class == ROUTE_INTERNAL))
		return nested ? -1 : 1;
	if (a.rank != b.rank)
		return a.rank < b.rank ? -1 : 1;
	return class_places[a.route_class] - class_places[b.route_class];
}

#define ROUTE_BANDS 3

unsigned
order_band(uint32_t rank)
{
	unsigned workspace = rank > PRESET_PRIORITY_MAX ? 1 : 0;
	uint32_t route = rank % (PRESET_PRIORITY_MAX + 1);

	return workspace * ROUTE_BANDS +
	       (route < ROUTE_BANDS - 1 ? route : ROUTE_BANDS - 1);
}

const char *
order_band_text(unsigned band)
{
	static const char *const texts[ORDER_BANDS] = {
	    "0/0", "0/1", "0/2+", "1+/0", "1+/1", "1+/2+"};

	return texts[band];
}
