#include "throttle.h"

#include "os.h"
#include "util.h"

#include <math.h>

/* Decayed count of calls below which a rank's pressure is left out of the sum. */
#define PRESSURE_NEGLIGIBLE 0.01

static double
pressure_decay(const pressure_t *pressure, uint64_t now)
{
	if (now <= pressure->updated_at)
		return 1;
	return exp2(-(double)(now - pressure->updated_at) /
		    (double)(PRESSURE_HALF_LIFE_MS * NS_PER_MS));
}

void
pressure_record(pressure_t *pressure, bool refused, uint64_t now)
{
	double decay = pressure_decay(pressure, now);

	pressure->refused = pressure->refused * decay + (refused ? 1 : 0);
	pressure->admitted = pressure->admitted * decay + (refused ? 0 : 1);
	pressure->updated_at = now;
}

uint32_t
pressure_percent(const pressure_t *pressure, uint64_t now)
{
	double total = pressure->refused + pressure->admitted;

	if (total * pressure_decay(pressure, now) < PRESSURE_SAMPLES_MIN)
		return 0;
	return (uint32_t)(100 * pressure->refused / total);
}

bool
throttle_holds_late(
    const pressure_t *shortage, uint32_t running, uint32_t running_max, uint64_t now)
{
	return running > 0 && running + THROTTLE_LATE_FREE_SLOTS >= running_max &&
	       pressure_percent(shortage, now) > THROTTLE_SHORTAGE_PERCENT;
}

static bool
pressure_is_current(const pressure_t *pressure, uint64_t now)
{
	return pressure->updated_at != 0 &&
	       pressure_decay(pressure, now) * (pressure->refused + pressure->admitted) >=
		   PRESSURE_NEGLIGIBLE;
}

void
pressure_table_record(pressure_table_t *table, uint32_t rank, bool refused, uint64_t now)
{
	int row = 0;

	for (int i = 0; i < PRESSURE_RANKS_MAX; i++) {
		const pressure_t *pressure = &table->pressures[i];

		if (table->ranks[i] == rank && pressure->updated_at != 0) {
			row = i;
			break;
		}
		if (pressure->updated_at < table->pressures[row].updated_at)
			row = i;
	}
	if (table->ranks[row] != rank || table->pressures[row].updated_at == 0) {
		table->ranks[row] = rank;
		table->pressures[row] = (pressure_t){0};
	}
	pressure_record(&table->pressures[row], refused, now);
}

uint32_t
pressure_table_percent(const pressure_table_t *table, uint32_t rank, uint64_t now)
{
	pressure_t sum = {.updated_at = now};

	for (int i = 0; i < PRESSURE_RANKS_MAX; i++) {
		const pressure_t *pressure = &table->pressures[i];
		double decay = pressure_decay(pressure, now);

		if (table->ranks[i] > rank || !pressure_is_current(pressure, now))
			continue;
		sum.refused += pressure->refused * decay;
		sum.admitted += pressure->admitted * decay;
	}
	return pressure_percent(&sum, now);
}

/* The row of a key, or NULL. */
static throttle_row_t *
row_find(throttle_t *throttle, order_key_t key)
{
	for (int i = 0; i < THROTTLE_ROWS_MAX; i++) {
		throttle_row_t *row = &throttle->rows[i];

		if (row->used && order_key_compare(row->key, key) == 0)
			return row;
	}
	return NULL;
}

static throttle_row_t *
row_add(throttle_t *throttle, order_key_t key)
{
	throttle_row_t *oldest = &throttle->rows[0];

	for (int i = 0; i < THROTTLE_ROWS_MAX; i++) {
		throttle_row_t *row = &throttle->rows[i];

		if (!row->used) {
			oldest = row;
			break;
		}
		if (row->outcome_at < oldest->outcome_at)
			oldest = row;
	}
	*oldest = (throttle_row_t){.used = true, .key = key, .share = 1};
	return oldest;
}

/*
 * True at most once per THROTTLE_STEP_MS; the first call after a longer pause
 * returns true immediately.
 */
static bool
step_try(throttle_row_t *row, uint64_t now)
{
	if (now < row->step_at + THROTTLE_STEP_MS * NS_PER_MS)
		return false;
	row->step_at = now;
	return true;
}

static void
share_set(throttle_row_t *row, double share)
{
	row->share = MAX_OF(THROTTLE_SHARE_MIN, MIN_OF(share, 1.0));
}

/* Whether two rows compete for the same service, in calls that ended recently. */
static bool
rows_compete(const throttle_row_t *row, const throttle_row_t *other, uint64_t now)
{
	return other->used && row->called != 0 && other->called == row->called &&
	       now <= other->outcome_at + THROTTLE_IDLE_MS * NS_PER_MS;
}

/*
 * The row to reduce when calls of this one have no room: the least urgent one that
 * calls the same service and that is not at its minimum, else the row itself.
 */
static throttle_row_t *
row_to_reduce(throttle_t *throttle, throttle_row_t *row, uint64_t now)
{
	throttle_row_t *found = row;

	for (int i = 0; i < THROTTLE_ROWS_MAX; i++) {
		throttle_row_t *other = &throttle->rows[i];

		if (rows_compete(row, other, now) && other->share > THROTTLE_SHARE_MIN &&
		    other->key.rank > found->key.rank)
			found = other;
	}
	return found;
}

/*
 * Whether a row of a more urgent rank that calls the same service is still reduced, or
 * had no room within the last step.
 */
static bool
more_urgent_is_short(const throttle_t *throttle, const throttle_row_t *row, uint64_t now)
{
	for (int i = 0; i < THROTTLE_ROWS_MAX; i++) {
		const throttle_row_t *other = &throttle->rows[i];

		if (rows_compete(row, other, now) && other->key.rank < row->key.rank &&
		    (other->share < 1 ||
			now <= other->short_at + THROTTLE_STEP_MS * NS_PER_MS))
			return true;
	}
	return false;
}

/* Why the share is to change after an outcome. */
static throttle_cause_t
outcome_cause(const throttle_t *throttle, const throttle_row_t *row,
    const throttle_outcome_t *outcome, uint64_t now)
{
	if (outcome->refused)
		return THROTTLE_REFUSED;
	if (outcome->pressure > THROTTLE_PRESSURE_HIGH_PERCENT)
		return THROTTLE_PRESSURE;
	if (row->late > THROTTLE_LATE_HIGH)
		return THROTTLE_LATE;
	if (outcome->pressure <= THROTTLE_PRESSURE_LOW_PERCENT &&
	    row->late <= THROTTLE_LATE_LOW && row->share < 1 &&
	    !more_urgent_is_short(throttle, row, now))
		return THROTTLE_ROOM;
	return THROTTLE_UNCHANGED;
}

throttle_change_t
throttle_call_record(throttle_t *throttle, order_key_t key,
    const throttle_outcome_t *outcome, uint64_t now)
{
	throttle_change_t change = {.cause = THROTTLE_UNCHANGED};
	throttle_row_t *row = row_find(throttle, key);
	throttle_cause_t cause;

	if (row == NULL)
		row = row_add(throttle, key);
	row->outcome_at = now;
	row->called = outcome->called;
	row->late += THROTTLE_LATE_SAMPLE_WEIGHT * ((outcome->late ? 1 : 0) - row->late);
	cause = outcome_cause(throttle, row, outcome, now);
	if (cause == THROTTLE_UNCHANGED)
		return change;
	if (cause != THROTTLE_ROOM) {
		row->short_at = now;
		row = row_to_reduce(throttle, row, now);
	}
	if (!step_try(row, now))
		return change;
	if (cause == THROTTLE_ROOM)
		share_set(row, row->share + THROTTLE_INCREASE);
	else
		share_set(row, row->share * THROTTLE_DECREASE_FACTOR);
	change =
	    (throttle_change_t){.cause = cause, .key = row->key, .share = row->share};
	return change;
}

const char *
throttle_cause_text(throttle_cause_t cause)
{
	static const char *const texts[] = {
	    "none", "call-refused", "pressure", "calls-late", "room"};

	return texts[cause];
}

bool
throttle_admit(throttle_t *throttle, order_key_t key, uint64_t now)
{
	throttle_row_t *row = row_find(throttle, key);

	if (key.route_class == ROUTE_INTERNAL || row == NULL || row->share >= 1)
		return true;
	if (now > row->outcome_at + THROTTLE_IDLE_MS * NS_PER_MS && step_try(row, now))
		share_set(row, row->share + THROTTLE_INCREASE);
	row->tokens += row->share;
	if (row->tokens < 1)
		return false;
	row->tokens -= 1;
	return true;
}

uint32_t
throttle_percent(const throttle_t *throttle, route_class_t route_class)
{
	double share = 1;

	for (int i = 0; i < THROTTLE_ROWS_MAX; i++) {
		const throttle_row_t *row = &throttle->rows[i];

		if (row->used && row->key.route_class == route_class)
			share = MIN_OF(share, row->share);
	}
	return (uint32_t)(share * 100 + 0.5);
}
