// Membership service on real sockets: several kernels, each with peer and membership
// services, in one process over loopback. Each case waits for a state up to a
// deadline.
#include "auth.h"
#include "fault.h"
#include "membership.h"
#include "peer.h"

#include <functional>
#include <gtest/gtest.h>
#include <json-c/json.h>
#include <map>
#include <memory>
#include <string.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#define WAIT_SECONDS 20

struct Listener {
	service_t service = {};
	std::function<void(message_t *)> handler = [](message_t *) {};

	void
	open(kernel_t *kernel, const char *name)
	{
		list_init(&service.link);
		service.name = name;
		service.state = this;
		service.receive = [](void *state, message_t *message) {
			((Listener *)state)->handler(message);
		};
		ASSERT_EQ(kernel_service_register(kernel, &service), 0);
	}
};

struct Node {
	kernel_t *kernel = NULL;
	settings_t settings = {};
	peer_t *peer = NULL;
	membership_t *membership = NULL;
	Listener entry, gate, config, operators;
	std::map<uint64_t, member_t> members;
	int join_needed = 0, entry_reports = 0, gate_reports = 0;
	uint64_t version_received = 0;
	std::string report;

	void
	open(int zone, int host, std::vector<address_t> seeds)
	{
		ASSERT_EQ(kernel_create((uint64_t)(zone * 100 + host), &kernel), 0);
		kernel_log(kernel)->level = LOG_LEVEL_ERROR;
		settings.peers = address(zone, host);
		settings.key_count = 1;
		settings.keys[0].id = 1;
		memset(settings.keys[0].secret, 1, SETTINGS_KEY_BYTES);
		settings.streams_per_peer_max = 8;
		snprintf(settings.zone, sizeof(settings.zone), "zone-%d", zone);
		strcpy(settings.region, "region");
		for (auto &seed : seeds)
			settings.seeds[settings.seed_count++] = seed;
		entry.open(kernel, "entry");
		gate.open(kernel, "gate");
		config.open(kernel, "config");
		operators.open(kernel, "operators");
		entry.handler = [this](message_t *message) {
			if (message->type == MESSAGE_MEMBER)
				members[message->node] = message->u.member;
			if (message->type == MESSAGE_CRASH_REPORT)
				entry_reports++;
		};
		gate.handler = [this](message_t *message) {
			gate_reports += message->type == MESSAGE_CRASH_REPORT;
		};
		config.handler = [this](message_t *message) {
			join_needed += message->type == MESSAGE_JOIN_NEEDED;
			if (message->type == MESSAGE_VERSION_RECEIVED)
				version_received = std::max(
				    version_received, message->u.version.version);
		};
		operators.handler = [this](message_t *message) {
			if (message->type == MESSAGE_REPORT && message->u.report != NULL)
				report.assign((char *)message->u.report->data,
				    message->u.report->size);
		};
		ASSERT_EQ(peer_create(kernel, &settings, &peer), 0);
		ASSERT_EQ(membership_create(kernel, &settings, &membership), 0);
	}
	static address_t
	address(int zone, int host)
	{
		return {
		    0x7f000001u + ((uint32_t)zone << 16) + ((uint32_t)host << 8), 7200};
	}
	void
	post(Listener &from, message_t *message)
	{
		kernel_message_post(kernel, &from.service,
		    kernel_service_find(kernel, "membership"), message);
	}
	size_t
	usable()
	{
		size_t count = 0;

		for (auto &[id, member] : members)
			count += member.state == MEMBER_ALIVE && member.reachable;
		return count;
	}
	void
	close()
	{
		membership_destroy(membership);
		peer_destroy(peer);
		membership = NULL;
		peer = NULL;
	}
	~Node()
	{
		close();
		for (Listener *listener : {&entry, &gate, &config, &operators})
			kernel_service_unregister(kernel, &listener->service);
		kernel_destroy(kernel);
	}
};

class Membership : public ::testing::Test
{
      protected:
	std::vector<std::unique_ptr<Node>> nodes;

	void
	add(int zone, int host)
	{
		nodes.push_back(std::make_unique<Node>());
		nodes.back()->open(zone, host, {Node::address(71, 1)});
	}
	bool
	wait(std::function<bool()> state)
	{
		uint64_t end = os_clock_monotonic() + WAIT_SECONDS * NS_PER_S;

		while (!state()) {
			if (os_clock_monotonic() > end)
				return false;
			for (auto &node : nodes)
				ev_run(kernel_loop(node->kernel), EVRUN_NOWAIT);
			usleep(200);
		}
		return true;
	}
	bool
	all_see(size_t count)
	{
		for (auto &node : nodes)
			if (node->membership != NULL && node->usable() != count)
				return false;
		return true;
	}
	void
	form()
	{
		for (int host = 1; host <= 3; host++) {
			add(71, host);
			add(72, host);
		}
		ASSERT_TRUE(wait([&] { return all_see(6); }));
	}
};

TEST_F(Membership, NodesJoinLeaveAndFail)
{
	form();
	Node &leaving_node = *nodes[3], &failed_node = *nodes[4];

	leaving_node.post(leaving_node.gate, message_create(MESSAGE_LEAVE, 0, 0));
	ASSERT_TRUE(wait([&] { return all_see(5); }));
	EXPECT_TRUE(wait([&] { return kernel_is_idle(leaving_node.kernel); }));
	uint64_t id = address_to_node_id(&failed_node.settings.peers);
	failed_node.close();
	ASSERT_TRUE(wait([&] { return all_see(4); }));
	EXPECT_EQ(nodes[0]->members[id].state, MEMBER_DOWN);
	EXPECT_EQ(kernel_metrics(nodes[0]->kernel)->values[METRIC_DATAGRAMS_REFUSED], 0u);
	EXPECT_GT(
	    kernel_metrics(nodes[0]->kernel)->values[METRIC_CONTROL_BYTES_SENT], 0u);
}

TEST_F(Membership, InstancesVersionsAndCrashReportsReachTheOthers)
{
	form();
	message_t *message = message_create(MESSAGE_INSTANCE, 0, 0);
	uint64_t id = address_to_node_id(&nodes[1]->settings.peers);

	message->u.instance = {INSTANCE_READY, "katalogo", 10, 110, 1};
	nodes[1]->post(nodes[1]->gate, message);
	message = message_create(MESSAGE_VERSION, 0, 0);
	message->u.version.version = 42;
	nodes[1]->post(nodes[1]->config, message);
	message = message_create(MESSAGE_CRASH_REPORT, 0, 0);
	message->u.crash_report = {5, 6, false};
	nodes[1]->post(nodes[1]->gate, message);
	ASSERT_TRUE(wait([&] {
		for (auto &node : nodes)
			if (node->members[id].instance.state != INSTANCE_READY ||
			    (node != nodes[1] &&
				(node->version_received != 42 ||
				    node->entry_reports != 1 || node->gate_reports != 1)))
				return false;
		return true;
	}));
	EXPECT_EQ(nodes[1]->gate_reports, 0);
	message = message_create(MESSAGE_QUERY, 0, 9);
	message->u.query.kind = QUERY_STATUS;
	nodes[0]->post(nodes[0]->operators, message);
	ASSERT_TRUE(wait([&] { return !nodes[0]->report.empty(); }));
	json_object *status = json_tokener_parse(nodes[0]->report.c_str());
	ASSERT_NE(status, nullptr);
	json_object *members = json_object_object_get(status, "members");
	json_object *zones = json_object_object_get(status, "zones");
	EXPECT_EQ(json_object_array_length(members), 6u);
	EXPECT_EQ(json_object_array_length(zones), 2u);
	json_object *zone = json_object_array_get_idx(zones, 0);
	EXPECT_EQ(json_object_get_int(json_object_object_get(zone, "alive")), 3);
	EXPECT_TRUE(json_object_get_boolean(json_object_object_get(zone, "reachable")));
	EXPECT_NE(nodes[0]->report.find("\"service\":\"katalogo\""), std::string::npos);
	json_object_put(status);
}

TEST_F(Membership, UnreachableZoneIsNotUsedUntilItAnswersAgain)
{
	form();
	if (kernel_service_find(nodes[0]->kernel, "fault") == NULL)
		GTEST_SKIP() << "built without MASTICPITCH_FAULTS";
	for (auto &node : nodes) {
		bool first = strcmp(node->settings.zone, "zone-71") == 0;
		fault_t *fault =
		    (fault_t *)kernel_service_find(node->kernel, "fault")->state;

		EXPECT_NE(fault_command(fault, "cut nonsense"), 0);
		EXPECT_NE(fault_command(fault, "cut 1.2.3.4.5"), 0);
		ASSERT_EQ(fault_command(
			      fault, first ? "cut-prefix 127.72." : "cut-prefix 127.71."),
		    0);
	}
	ASSERT_TRUE(wait([&] { return all_see(3); }));
	for (auto &node : nodes)
		for (auto &[id, member] : node->members)
			EXPECT_NE(member.state, MEMBER_DOWN);
	for (auto &node : nodes)
		fault_command(
		    (fault_t *)kernel_service_find(node->kernel, "fault")->state, "heal");
	EXPECT_TRUE(wait([&] { return all_see(6); }));
}

TEST_F(Membership, IsolatedNodeRequestsAJoinAddressAndUsesIt)
{
	add(71, 2);
	ASSERT_TRUE(wait([&] { return nodes[0]->join_needed == 1; }));
	add(72, 1);
	message_t *message = message_create(MESSAGE_JOIN_ADDRESS, 0, 0);
	message->u.address = nodes[1]->settings.peers;
	nodes[0]->post(nodes[0]->config, message);
	EXPECT_TRUE(wait([&] { return all_see(2); }));
}

TEST_F(Membership, ForeignAndMalformedDatagramsAreRefusedAndCounted)
{
	add(71, 1);
	address_t from = Node::address(73, 1);
	struct sockaddr_in to;
	uint8_t bytes[100] = {1};
	auth_keys_t foreign = {};
	uint8_t wire[64];
	int fd;

	ASSERT_EQ(os_socket_datagram(&from, &fd), 0);
	address_to_sockaddr(&nodes[0]->settings.peers, &to);
	sendto(fd, bytes, sizeof(bytes), 0, (struct sockaddr *)&to, sizeof(to));
	foreign.count = 1;
	foreign.keys[0].id = 1;
	auth_datagram_sign(
	    &foreign, address_to_node_id(&nodes[0]->settings.peers), "x", 1, wire);
	sendto(fd, wire, 1 + AUTH_DATAGRAM_HEAD_BYTES, 0, (struct sockaddr *)&to,
	    sizeof(to));
	EXPECT_TRUE(wait([&] {
		return kernel_metrics(nodes[0]->kernel)
			   ->values[METRIC_DATAGRAMS_REFUSED] == 2;
	}));
	close(fd);
}

TEST_F(Membership, FaultPortAcceptsCommands)
{
	address_t address = Node::address(71, 1);
	address_t from = Node::address(73, 1);
	struct sockaddr_in to;
	char answer[16] = {0};
	int fd;

	setenv("MASTICPITCH_FAULT_PORT", "7299", 1);
	add(71, 1);
	unsetenv("MASTICPITCH_FAULT_PORT");
	if (kernel_service_find(nodes[0]->kernel, "fault") == NULL)
		GTEST_SKIP() << "built without MASTICPITCH_FAULTS";
	address.port = 7299;
	address_to_sockaddr(&address, &to);
	ASSERT_EQ(os_socket_datagram(&from, &fd), 0);
	sendto(fd, "cut 127.72.1.1\n", 15, 0, (struct sockaddr *)&to, sizeof(to));
	ASSERT_TRUE(wait([&] { return recv(fd, answer, sizeof(answer) - 1, 0) > 0; }));
	EXPECT_STREQ(answer, "ok");
	fault_t *fault = (fault_t *)kernel_service_find(nodes[0]->kernel, "fault")->state;
	EXPECT_TRUE(fault_is_cut(fault, 0x7f480101));
	EXPECT_FALSE(fault_is_cut(fault, 0x7f480102));
	close(fd);
}
