// Tests the concurrency limits: a slow service or class must not block the others,
// and a gate must not rely on the slots that a backend server announces.
#include "limit.h"

#include "util.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

preset_service_t
make_service(const std::string &name, uint32_t in_flight_limit = 0)
{
	preset_service_t service = {};

	string_copy(service.name, sizeof(service.name), name.c_str());
	service.in_flight_limit = in_flight_limit;
	return service;
}

class EntryLimit : public testing::Test
{
      protected:
	limit_entry_t *limit = nullptr;
	std::vector<limit_permit_t> held;

	void
	create(uint32_t requests_max, bool enforced = true)
	{
		ASSERT_EQ(limit_entry_create(requests_max, enforced, &limit), 0);
	}

	void
	TearDown() override
	{
		for (limit_permit_t &permit : held)
			limit_entry_release(limit, &permit);
		if (limit != nullptr) {
			EXPECT_EQ(limit_entry_in_flight(limit), 0u);
		}
		limit_entry_destroy(limit);
	}

	reason_t
	acquire(const preset_service_t &service, route_class_t route_class)
	{
		limit_permit_t permit;
		reason_t reason =
		    limit_entry_acquire(limit, &service, route_class, &permit);

		if (reason == REASON_NONE)
			held.push_back(permit);
		return reason;
	}

	// Requests admitted before the first refusal.
	uint32_t
	fill(const preset_service_t &service, route_class_t route_class)
	{
		uint32_t count = 0;

		while (acquire(service, route_class) == REASON_NONE)
			count++;
		return count;
	}
};

// Guards against a slow service using up the entry's limit.
TEST_F(EntryLimit, SlowServicesLeaveRequestsForAnother)
{
	create(1000);
	EXPECT_LE(fill(make_service("slow-0"), ROUTE_LOOKUP), 500u);
	for (int i = 1; i < 10; i++)
		fill(make_service("slow-" + std::to_string(i)), ROUTE_LOOKUP);
	EXPECT_EQ(acquire(make_service("fast"), ROUTE_LOOKUP), REASON_NONE);
	EXPECT_EQ(acquire(make_service("slow-0"), ROUTE_INTERNAL), REASON_SERVICE_LIMIT);
}

// Guards against a slow class using up the requests reserved for other classes, for
// any number of services.
TEST_F(EntryLimit, ASlowClassLeavesTheReservedRequestsOfOthers)
{
	create(1000);
	for (int i = 0; i < 500; i++)
		fill(make_service("s" + std::to_string(i), 10), ROUTE_UPLOAD);
	EXPECT_EQ(acquire(make_service("more"), ROUTE_UPLOAD), REASON_CLASS_LIMIT);
	for (route_class_t other : {ROUTE_CALL, ROUTE_LOOKUP, ROUTE_INTERNAL}) {
		for (int i = 0; i < 1000 * LIMIT_CLASS_RESERVED_PERCENT / 100; i++)
			ASSERT_EQ(acquire(make_service(std::to_string(other) + "-" +
						       std::to_string(i)),
				      other),
			    REASON_NONE);
	}
	EXPECT_EQ(acquire(make_service("more"), ROUTE_CALL), REASON_ENTRY_LIMIT);
}

// Guards against a preset's in_flight_limit of a service not being enforced.
TEST_F(EntryLimit, TheLimitOfAServiceIsEnforced)
{
	create(1000);
	EXPECT_EQ(fill(make_service("katalogo", 20), ROUTE_LOOKUP), 20u);
	limit_entry_release(limit, &held.back());
	limit_entry_release(limit, &held.back());
	EXPECT_EQ(acquire(make_service("katalogo", 20), ROUTE_CALL), REASON_NONE);
	EXPECT_EQ(
	    acquire(make_service("katalogo", 20), ROUTE_CALL), REASON_SERVICE_LIMIT);
}

// Guards against an entry with a limit of one request admitting none.
TEST_F(EntryLimit, TheSmallestEntryAdmitsOneRequest)
{
	create(1);
	EXPECT_EQ(acquire(make_service("a"), ROUTE_UPLOAD), REASON_NONE);
	EXPECT_EQ(acquire(make_service("b"), ROUTE_INTERNAL), REASON_ENTRY_LIMIT);
}

// Guards against a naive baseline with further limits, which would make it look better
// than it is.
TEST_F(EntryLimit, NaiveHasOnlyTheTotalLimit)
{
	create(100, false);
	EXPECT_EQ(fill(make_service("a", 5), ROUTE_UPLOAD), 100u);
}

// Guards against counts that drift while requests of many services start and end.
TEST_F(EntryLimit, CountsAgreeWithAModelUnderChurn)
{
	rng_t rng;
	uint32_t classes[ROUTE_CLASS_COUNT] = {};

	rng_init(&rng, 5);
	create(300);
	for (int step = 0; step < 100000; step++) {
		if (!held.empty() && rng_below(&rng, 2) == 0) {
			size_t i = rng_below(&rng, held.size());

			classes[held[i].route_class]--;
			limit_entry_release(limit, &held[i]);
			held[i] = held.back();
			held.pop_back();
		} else {
			route_class_t which =
			    (route_class_t)rng_below(&rng, ROUTE_CLASS_COUNT);
			std::string name = "s" + std::to_string(rng_below(&rng, 5000));

			classes[which] +=
			    acquire(make_service(name), which) == REASON_NONE;
		}
		ASSERT_EQ(limit_entry_in_flight(limit), held.size());
		ASSERT_LE(held.size(), 300u);
	}
	for (int i = 0; i < ROUTE_CLASS_COUNT; i++)
		EXPECT_EQ(
		    limit_entry_class_in_flight(limit, (route_class_t)i), classes[i]);
}

// A backend server that runs `capacity` calls in parallel without slowing down,
// regardless of the slots that it announces; each call takes `service_us`.
struct server_t {
	double capacity;
	double service_us;
};

// Keeps as many calls running as the limit and demand allow for duration_ms.
uint64_t
drive(limit_gate_t *limit, const server_t &server, uint64_t now, uint64_t duration_ms,
    rng_t *rng, uint32_t demand = UINT32_MAX)
{
	uint64_t end = now + duration_ms * NS_PER_MS;

	while (now < end) {
		uint32_t running = std::min(limit_gate_current(limit), demand);
		double latency_us = server.service_us *
				    std::max(1.0, running / server.capacity) *
				    (0.9 + 0.2 * rng_unit(rng));

		now += (uint64_t)(latency_us * NS_PER_US / running);
		limit_gate_record(limit, ROUTE_LOOKUP, (uint64_t)(latency_us * NS_PER_US),
		    running, now);
	}
	return now;
}

class GateLimit : public testing::Test
{
      protected:
	limit_gate_t limit;
	rng_t rng;
	uint64_t now = NS_PER_S;

	void
	SetUp() override
	{
		rng_init(&rng, 11);
		limit_gate_init(&limit, 40, true, now);
	}
};

// Guards against limiting a healthy backend server to less than its slots.
TEST_F(GateLimit, AHealthyServerKeepsItsSlots)
{
	now = drive(&limit, {40, 5000}, now, 10000, &rng);
	EXPECT_EQ(limit_gate_current(&limit), 40u);
}

// Guards against overloading a backend server that announces ten times its capacity.
TEST_F(GateLimit, AServerWithTooManySlotsIsLimitedNearItsCapacity)
{
	now = drive(&limit, {4, 5000}, now, 1000, &rng, 2); // sets the minimum
	now = drive(&limit, {4, 5000}, now, 10000, &rng);
	EXPECT_LE(limit_gate_current(&limit), 12u);
	EXPECT_GE(limit_gate_current(&limit), 3u);
}

// Guards against a limit that stays low after a slow backend server has recovered.
TEST_F(GateLimit, TheLimitRecoversAfterASlowPhase)
{
	now = drive(&limit, {40, 5000}, now, 2000, &rng);
	now = drive(&limit, {3, 5000}, now, 3000, &rng);
	EXPECT_LT(limit_gate_current(&limit), 20u);
	now = drive(&limit, {40, 5000}, now, 10000, &rng);
	EXPECT_EQ(limit_gate_current(&limit), 40u);
}

// Guards against treating scheduling delays as overload: on a busy host, delays of a
// few milliseconds on calls that take 1 to 2 ms reduced the limit to one call.
TEST_F(GateLimit, SchedulingNoiseOnShortCallsIsNoOverload)
{
	uint32_t lowest = 40;

	limit_gate_init(&limit, 40, true, now);
	for (int i = 0; i < 60000; i++) {
		// Every few seconds the host is busy for a while.
		double noise_ms = i % 3000 < 1000 ? 0.2 : 5.0;
		double latency_ms = 1 + rng_unit(&rng) + noise_ms * rng_unit(&rng);

		now += 5 * NS_PER_MS;
		limit_gate_record(
		    &limit, ROUTE_LOOKUP, (uint64_t)(latency_ms * NS_PER_MS), 2, now);
		lowest = std::min(lowest, limit_gate_current(&limit));
	}
	EXPECT_EQ(lowest, 40u);
}

// Guards against limiting a backend server to one call permanently after it became
// slower regardless of load, for example by a new release.
TEST_F(GateLimit, ASlowerServerIsNotLimitedToOneCall)
{
	now = drive(&limit, {40, 5000}, now, 2000, &rng);
	now = drive(&limit, {40, 25000}, now, 20000, &rng);
	EXPECT_EQ(limit_gate_current(&limit), 40u);
}

// Guards against a limit below one call or above the slots, over random sequences.
TEST_F(GateLimit, TheLimitStaysWithinOneAndSlots)
{
	for (int i = 0; i < 200000; i++) {
		uint32_t slots = limit.slots;

		now += rng_below(&rng, 100 * NS_PER_MS);
		if (rng_below(&rng, 1000) == 0)
			limit_gate_slots_set(
			    &limit, slots = (uint32_t)rng_below(&rng, 50));
		if (rng_below(&rng, 20) == 0)
			limit_gate_overload(&limit, now);
		limit_gate_record(&limit,
		    (route_class_t)rng_below(&rng, ROUTE_CLASS_COUNT),
		    rng_below(&rng, 1000) == 0 ? 0 : rng_below(&rng, NS_PER_S),
		    (uint32_t)rng_below(&rng, 60), now);
		ASSERT_GE(limit_gate_current(&limit), 1u);
		ASSERT_LE(limit_gate_current(&limit), std::max(slots, 1u));
	}
}

// Guards against treating a change in the mix of classes as overload.
TEST_F(GateLimit, SlowClassesDoNotLowerTheLimit)
{
	for (int i = 0; i < 20000; i++) {
		now += NS_PER_MS;
		limit_gate_record(&limit, ROUTE_LOOKUP, 2 * NS_PER_MS, 40, now);
		if (i > 10000)
			limit_gate_record(&limit, ROUTE_CALL, 50 * NS_PER_MS, 40, now);
		limit_gate_record(
		    &limit, ROUTE_UPLOAD, rng_below(&rng, 60 * NS_PER_S), 40, now);
	}
	EXPECT_EQ(limit_gate_current(&limit), 40u);
}

// Guards against reporting a slow backend server only after its first late answers.
TEST_F(GateLimit, TheAgeOfOpenExchangesIsReported)
{
	std::vector<uint64_t> started;

	now = drive(&limit, {40, 5000}, now, 1000, &rng);
	EXPECT_LT(limit_gate_latency_us(&limit), 6000u);
	for (int i = 0; i < 5; i++) {
		limit_gate_start(&limit, ROUTE_LOOKUP, now);
		limit_gate_start(&limit, ROUTE_UPLOAD, now);
		started.push_back(now);
		now += 100 * NS_PER_MS;
	}
	EXPECT_EQ(limit_gate_latency_us(&limit), 200000u);
	for (uint64_t start : started) {
		limit_gate_end(&limit, ROUTE_LOOKUP, start, now);
		limit_gate_end(&limit, ROUTE_UPLOAD, start, now);
	}
	EXPECT_LT(limit_gate_latency_us(&limit), 6000u);
}

// Guards against uploads using all slots, and against running uploads blocking lookups
// while the adaptive limit is one.
TEST_F(GateLimit, UploadsCountAgainstTheSlotsOnly)
{
	for (uint32_t slots : {1u, 2u, 3u, 10u, 100u}) {
		uint32_t uploads = 0, lookups = 0;

		limit_gate_init(&limit, slots, true, now);
		for (; limit_gate_admits(&limit, ROUTE_UPLOAD); uploads++)
			limit_gate_start(&limit, ROUTE_UPLOAD, now);
		EXPECT_GE(uploads, 1u);
		for (; limit_gate_admits(&limit, ROUTE_LOOKUP); lookups++)
			limit_gate_start(&limit, ROUTE_LOOKUP, now);
		EXPECT_EQ(uploads + lookups, slots);
		EXPECT_GE(100 * lookups,
		    slots > 1 ? slots * LIMIT_NON_UPLOAD_RESERVED_PERCENT : 0);
		EXPECT_FALSE(limit_gate_admits(&limit, ROUTE_INTERNAL));
		EXPECT_EQ(limit_gate_total_max(&limit), slots);
	}
	limit_gate_init(&limit, 10, true, now);
	for (int i = 0; i < 100; i++)
		limit_gate_overload(&limit, now += LIMIT_WINDOW_MS * NS_PER_MS);
	ASSERT_EQ(limit_gate_current(&limit), 1u);
	for (int i = 0; i < 5; i++)
		limit_gate_start(&limit, ROUTE_UPLOAD, now);
	EXPECT_EQ(limit_gate_total_max(&limit), 6u);
	EXPECT_TRUE(limit_gate_admits(&limit, ROUTE_LOOKUP));
	limit_gate_start(&limit, ROUTE_LOOKUP, now);
	EXPECT_FALSE(limit_gate_admits(&limit, ROUTE_LOOKUP));
	EXPECT_TRUE(limit_gate_admits(&limit, ROUTE_UPLOAD));
	limit_gate_slots_set(&limit, 3);
	EXPECT_FALSE(limit_gate_admits(&limit, ROUTE_UPLOAD));
	EXPECT_EQ(limit_gate_non_uploads_max(&limit), 0u);
}

// Guards against a naive baseline that adapts its limit, which would make it look
// better than it is.
TEST_F(GateLimit, NaiveKeepsTheSlots)
{
	limit_gate_init(&limit, 40, false, now);
	now = drive(&limit, {1, 5000}, now, 5000, &rng);
	limit_gate_overload(&limit, now);
	EXPECT_EQ(limit_gate_current(&limit), 40u);
}

} // namespace
