// Discrete event simulation of configuration distribution: many nodes in one
// process with virtual time, and a platform and a network whose faults are scripted.
#ifndef SPREAD_SIM_H
#define SPREAD_SIM_H

#include "commit.h"
#include "fake_platform.h"
#include "os.h"
#include "spread.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

// Events and faults of the platform, the network and the nodes for one seed.
struct Script {
	enum Kind { COMMIT, INVALID, RESTART, PAUSE, CUT, OUTAGE, SLOW, REGRESS, LOSS };
	struct Step {
		uint64_t at;
		Kind kind;
		uint64_t a, b; // random parameters; their meaning depends on kind
		uint64_t duration;
	};
	std::vector<Step> steps;
	std::vector<int> zones; // of each node
	spread_mode_t mode;
	uint64_t healed_at;

	static Script make(uint64_t seed);
};

struct SimStats {
	uint64_t restarts = 0, restarts_routed = 0, restarts_regressed = 0, applied = 0,
		 refused = 0;
	uint64_t regressed = 0, platform_calls = 0, events = 0;
	uint64_t convergence_max = 0;
	std::vector<uint64_t> convergence;
};

class Sim
{
      public:
	Sim(uint64_t seed, const Script &script, config_source_t source, SimStats *stats);
	~Sim();
	// Runs to the end; false: a guarantee was violated, described by `fault`.
	bool run();

	std::string fault;
	std::string final_state;

      private:
	struct Node {
		uint64_t id;
		int zone;
		address_t address;
		spread_t *spread = NULL;
		// Grows with each start and stop; events of an earlier one are dropped.
		uint64_t epoch = 0;
		uint64_t paused_until = 0;
		uint64_t tick_at = TIME_NEVER;
		uint64_t version = 0; // in force since the last start; 0: none
		uint64_t version_max_in_force = 0; // largest ever in force
		// Since the last start: the platform was unreachable, had a version below
		// version_max_in_force or only an invalid one; messages were lost, cut
		// off or delayed.
		bool platform_disturbed = false;
		bool network_was_disturbed = false;
		std::string state;
		uint64_t watch_serial = 0;
		bool watching = false;
	};
	struct Watch {
		size_t node;
		uint64_t epoch, serial, after;
	};
	struct State {
		std::map<std::string, FakePlatform::Entry> keys;
		uint64_t revision;
		uint64_t next_lease;
		uint64_t version;
		bool valid;
		std::map<std::string, uint64_t> values;
	};

	uint64_t seed;
	const Script &script;
	config_source_t source;
	SimStats *stats;
	rng_t rng;
	uint64_t now = NS_PER_S;
	uint64_t order = 0;
	std::map<std::pair<uint64_t, uint64_t>, std::function<void()>> pending;
	std::vector<Node> nodes;
	FakePlatform platform;
	bool outage = false;
	uint64_t slow = 0;
	int loss = 0; // percent
	// Incarnation of the platform's store; 0: its answers name none.
	uint64_t store_epoch = 0;
	int cut_zone = -1; // disconnected from the other zones; -1: none
	bool cut_platform = false;
	std::vector<Watch> watches;
	std::vector<State> saved;
	// queue_limit in each preset; 0: the preset is invalid
	std::map<std::string, uint64_t> values;
	// Committed valid states, "VERSION PRESET VALUE"
	std::set<std::string> committed_states;
	uint64_t operation = 0;
	uint64_t version_max = 0;  // largest ever committed
	uint64_t head_version = 0; // on the platform now
	bool head_is_valid = true; // false: no node may put the newest version in force
	uint64_t final_at = 0;
	size_t settled = 0;

	void after(uint64_t delay, std::function<void()> action);
	uint64_t random(uint64_t bound);
	void fail(const std::string &what);
	bool connected(size_t a, size_t b) const;
	bool platform_reachable(size_t node) const;
	member_t member_of(size_t node, member_state_t state, bool reachable) const;
	void member_notify(size_t to, size_t about, uint64_t delay);
	void member_notify_all(size_t about, uint64_t delay);
	void start(size_t node);
	void stop(size_t node);
	void gossip(size_t node);
	void event_deliver(
	    size_t node, uint64_t epoch, std::function<void(spread_t *)> event);
	void drain(size_t node);
	void message_send(size_t from, uint64_t to, spread_message_t *message);
	void call(size_t node, const spread_action_t *action);
	void call_deliver(size_t node, uint64_t epoch, spread_call_t kind,
	    digest_t digest, std::function<FakePlatform::Answer()> effect);
	void answer(size_t node, uint64_t epoch, spread_call_t kind, digest_t digest,
	    FakePlatform::Answer answer, uint64_t delay);
	void watch_start(size_t node, uint64_t after_revision, uint64_t wait_ms);
	FakePlatform::Answer epoch_stamp(FakePlatform::Answer result) const;
	void watches_notify();
	void watches_fail();
	void in_force(size_t node, const snapshot_t *snapshot);
	void restart_regression_check(size_t node, uint64_t version);
	void step(const Script::Step &step);
	int commit(commit_kind_t kind, const std::string &preset, uint64_t value);
	void invalid(uint64_t kind);
	void committed_state_record();
	void regress(uint64_t back);
	void network_disturbed();
	void heal();
	void final_commit();
	void settle_check();
};

#endif
