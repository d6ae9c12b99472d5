// Cost of membership: bytes and CPU time per node must not grow with the number of
// nodes. Prints one JSON object per line for the capacity page;
// MASTICPITCH_CAPACITY_FROM and MASTICPITCH_CAPACITY_NODES select the sizes.
#include "virtual_mesh.h"

#include <gtest/gtest.h>
#include <string.h>

#define SECONDS 10

struct Cost {
	double bytes, datagrams, cpu_percent, formed_ms;
};

// A tick and a datagram cost the same as in a node, except for the authentication
// digests and system calls of the service.
static Cost
measure(size_t count, bool busy)
{
	VirtualMesh mesh(count, count < 50 ? 2 : 5, 1);
	uint64_t cpu, bytes = 0, datagrams = 0, start = mesh.now, total;
	Cost cost = {};

	// Every node has a ready instance.
	for (size_t i = 0; i < count; i++) {
		// The host's backend server is not its first one.
		instance_t instance = {
		    INSTANCE_READY, "", 10, 110, 1, 1700000060000, 1700000000000};

		mesh.start((int)i);
		snprintf(
		    instance.service, sizeof(instance.service), "service-%zu", i % 320);
		mesh.perform_on((int)i, [&](member_table_t *table, list_t *actions) {
			member_set_instance(table, &instance, mesh.now, actions);
		});
	}
	EXPECT_TRUE(mesh.run(60000, [&] { return mesh.is_converged(); }));
	cost.formed_ms = (double)(mesh.now - start) / (double)MS;
	// Wait until the gossip of the start has been sent.
	mesh.run(10000);
	for (auto &node : mesh.nodes)
		node.bytes = node.sync_bytes = node.datagrams = 0;
	cpu = os_clock_cpu();
	for (int second = 0; second < SECONDS; second++) {
		// One restart per second in the mesh, 40 times the daily target.
		if (busy)
			mesh.start((int)rng_below(&mesh.rng, count));
		mesh.run(1000);
	}
	cpu = os_clock_cpu() - cpu;
	for (auto &node : mesh.nodes) {
		bytes += node.bytes + node.sync_bytes;
		datagrams += node.datagrams;
	}
	total = (uint64_t)count * SECONDS;
	cost.bytes = (double)bytes / (double)total;
	cost.datagrams = (double)datagrams / (double)total;
	cost.cpu_percent = (double)cpu / (double)total / 1e9 * 100;
	printf("{\"measure\":\"membership\",\"load\":\"%s\",\"nodes\":%zu,"
	       "\"bytes_per_node_s\":%.0f,\"datagrams_per_node_s\":%.1f,"
	       "\"cpu_percent_per_node\":%.4f,\"formed_ms\":%.0f,\"seed\":1}\n",
	    busy ? "one restart a second" : "idle", count, cost.bytes, cost.datagrams,
	    cost.cpu_percent, cost.formed_ms);
	return cost;
}

static uint64_t
limit(const char *name, uint64_t fallback)
{
	const char *text = getenv(name);

	if (text != NULL)
		string_parse_uint(text, 1900, &fallback);
	return fallback;
}

TEST(MemberCapacity, CostPerNodeDoesNotGrowWithTheMesh)
{
	const size_t sizes[] = {10, 50, 100, 200, 500, 1000, 1900};
	uint64_t from = limit("MASTICPITCH_CAPACITY_FROM", 10);
	uint64_t largest = limit("MASTICPITCH_CAPACITY_NODES", 100);
	Cost smallest = {};

	for (size_t size : sizes) {
		if (size < from || size > largest)
			continue;
		Cost idle = measure(size, false);
		measure(size, true);
		if (size == 50)
			smallest = idle;
		// The bound of section 15 is 19 KB/s, with IP and UDP headers.
		EXPECT_LT(idle.bytes, 4000);
		EXPECT_LT(idle.cpu_percent, 4.5);
		if (smallest.bytes > 0 && size > 50) {
			EXPECT_LT(idle.bytes, 1.2 * smallest.bytes);
		}
	}
}
