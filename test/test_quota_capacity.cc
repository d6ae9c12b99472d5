// Cost of quotas for a node at the target size, from the decision code alone: bytes that
// it sends and memory that it needs. Prints one JSON object per line for the capacity
// page.
#include "quota_lease.h"
#include "quota_owner.h"
#include "quota_table.h"
#include "virtual_mesh.h"

#include <gtest/gtest.h>
#ifdef __SANITIZE_ADDRESS__
// Of the sanitizer's run-time library; its header is not installed everywhere.
extern "C" size_t __sanitizer_get_current_allocated_bytes();
#else
#include <malloc.h>
#endif

namespace
{

const size_t NODES = 1900;
const size_t WORKSPACES = 10000;
const uint64_t SECONDS_RUN = 60;

// Bytes of allocated memory.
size_t
allocated()
{
#ifdef __SANITIZE_ADDRESS__
	return __sanitizer_get_current_allocated_bytes();
#else
	return mallinfo2().uordblks;
#endif
}

// Bytes on the wire of one ask or grant, with authentication, UDP and IP headers.
double
datagram_bytes(bool grant)
{
	VirtualMesh mesh(2, 1, 1);
	member_quota_t item = {~UINT64_C(0), grant ? 1u : 2u, 0, false};
	double bytes;

	mesh.start_all();
	EXPECT_TRUE(mesh.run(10000, [&] { return mesh.is_converged(); }));
	mesh.run(5000);
	mesh.perform_on(0, [&](member_table_t *table, list_t *actions) {
		member_set_version(table, 100000, mesh.now, actions);
	});
	mesh.run(5000);
	bytes = static_cast<double>(mesh.nodes[0].bytes);
	mesh.perform_on(0, [&](member_table_t *table, list_t *actions) {
		EXPECT_TRUE(member_send_quota(
		    table, mesh.id(1), grant, &item, 1, mesh.now, actions));
	});
	return static_cast<double>(mesh.nodes[0].bytes) - bytes;
}

// Workspaces by popularity: the n-th sends a share in proportion to 1 / n.
std::vector<double>
popularity()
{
	std::vector<double> sums;
	double sum = 0.0;

	for (size_t i = 1; i <= WORKSPACES; i++)
		sums.push_back(sum += 1.0 / static_cast<double>(i));
	for (double &item : sums)
		item /= sum;
	return sums;
}

class QuotaCapacity : public ::testing::TestWithParam<double>
{
};

// Every request of a workspace is the first one for a while at its entry, since there are
// more workspaces than requests a second: nearly each needs an ask and a grant.
TEST_P(QuotaCapacity, BytesAndMemoryOfANode)
{
	double per_s = GetParam();
	std::vector<double> sums = popularity();
	size_t before = allocated(), memory;
	preset_t preset = {};
	quota_table_t table = {};
	quota_lease_t *lease = quota_lease_create(1);
	quota_owner_t *owner = quota_owner_create();
	double asks = 0.0, requests = 0.0, bytes;
	rng_t rng;

	rng_init(&rng, 1);
	preset.workspaces = static_cast<preset_workspace_t *>(
	    calloc(WORKSPACES, sizeof(preset_workspace_t)));
	preset.workspace_count = WORKSPACES;
	for (size_t i = 0; i < WORKSPACES; i++) {
		snprintf(preset.workspaces[i].name, NAME_BYTES, "workspace-%zu", i);
		preset.workspaces[i].rate = preset.workspaces[i].burst = 100.0;
	}
	ASSERT_EQ(quota_table_read(&table, &preset), 0);
	free(preset.workspaces);
	quota_lease_members_set(lease, NODES);
	for (uint64_t ms = 0; ms < SECONDS_RUN * 1000; ms++) {
		uint64_t now = (ms + 1000) * NS_PER_MS;

		if (rng_unit(&rng) >= per_s / 1000.0)
			continue;
		size_t at = std::lower_bound(sums.begin(), sums.end(), rng_unit(&rng)) -
			    sums.begin();
		quota_row_t *row = &table.rows[at];
		quota_take_t take =
		    quota_lease_take(lease, row->workspace, row->limit.rate, now);
		quota_grant_t grant = {
		    quota_lease_ask(lease, row->workspace, now), 0, false};

		requests++;
		if (grant.tokens > 0) {
			asks++;
			quota_lease_granted(lease, row->workspace, &grant, now);
		}
		if (take.verdict == QUOTA_WAITING) {
			take = quota_lease_retake(
			    lease, row->workspace, row->limit.rate, now);
			ASSERT_EQ(take.verdict, QUOTA_ADMITTED);
		}
	}
	/* The rest of the workspaces, and more buckets than a node ever owns. */
	for (size_t i = 0; i < WORKSPACES; i++)
		quota_lease_take(lease, table.rows[i].workspace, 1.0, 1);
	for (size_t i = 0; i < WORKSPACES / 10; i++)
		quota_owner_lend(
		    owner, table.rows[i].workspace, &table.rows[i].limit, 1.0, 1, 0, 1);
	memory = allocated() - before;
	/* Each node answers as many asks as it sends, on average. */
	bytes = asks / static_cast<double>(SECONDS_RUN) *
		(datagram_bytes(false) + datagram_bytes(true));
	printf("{\"measure\":\"quota\",\"nodes\":%zu,\"workspaces\":%zu,"
	       "\"requests_per_node_s\":%.0f,\"asks_per_request\":%.2f,"
	       "\"bytes_per_node_s\":%.0f,\"memory_bytes\":%zu}\n",
	    NODES, WORKSPACES, per_s, asks / requests, bytes, memory);
	EXPECT_LE(bytes, 220.0 * per_s);
	EXPECT_TRUE(bytes <= 2048.0 || per_s > 9.0) << bytes;
	EXPECT_LE(memory, 4u * 1024 * 1024);
	quota_lease_destroy(lease);
	quota_owner_destroy(owner);
	quota_table_free(&table);
}

INSTANTIATE_TEST_SUITE_P(Load, QuotaCapacity, ::testing::Values(9.0, 58.0));

// Guards against grants to a hot workspace that are asked for one by one.
TEST(QuotaDemand, AHotWorkspaceIsLentAhead)
{
	quota_lease_t *lease = quota_lease_create(1);
	size_t asks = 0, admitted = 0;

	for (uint64_t ms = 0; ms < 10000; ms += 5) {
		uint64_t now = (ms + 1000) * NS_PER_MS;
		quota_take_t take = quota_lease_take(lease, 1, 1000.0, now);
		quota_grant_t grant = {quota_lease_ask(lease, 1, now), 0, false};

		admitted += take.verdict == QUOTA_ADMITTED;
		if (grant.tokens == 0)
			continue;
		asks++;
		quota_lease_granted(lease, 1, &grant, now);
		if (take.verdict == QUOTA_WAITING)
			quota_lease_retake(lease, 1, 1000.0, now);
	}
	EXPECT_LE(asks, 150u);
	EXPECT_GE(admitted, 1950u);
	quota_lease_destroy(lease);
}

} // namespace
