// Guards the spread of configuration: P1 (no node moves back), P2 and P3 (what
// is in force is one whole valid version) at every step, and that the real
// variant ends where the naive baseline ends, on every node.
#include "spread_sim.h"

#include "spread_members.h"

#include <cstring>
#include <gtest/gtest.h>

// Script ------------------------------------------------------------------

static const uint64_t MS = NS_PER_MS;
static const uint64_t SCRIPT_NS = 7 * NS_PER_S;

Script
Script::make(uint64_t seed)
{
	Script script;
	rng_t rng;

	rng_init(&rng, seed);
	size_t zones = 1 + rng_below(&rng, 3);
	size_t count = 3 + rng_below(&rng, 5);
	for (size_t i = 0; i < count; i++)
		script.zones.push_back((int)(i % zones));
	script.mode = seed % 2 ? SPREAD_FAST : SPREAD_FRUGAL;
	script.healed_at = SCRIPT_NS;
	for (uint64_t n = 4 + rng_below(&rng, 8); n > 0; n--) {
		static const Kind kinds[] = {COMMIT, COMMIT, COMMIT, INVALID, RESTART,
		    RESTART, PAUSE, CUT, OUTAGE, SLOW, REGRESS, LOSS};
		Step step;

		step.kind = kinds[rng_below(&rng, sizeof(kinds) / sizeof(kinds[0]))];
		step.at = 200 * MS + rng_below(&rng, SCRIPT_NS - 1000 * MS);
		step.a = rng_next(&rng);
		step.b = rng_next(&rng);
		step.duration = 50 * MS + rng_below(&rng, 4000 * MS);
		script.steps.push_back(step);
	}
	return script;
}

// Simulation --------------------------------------------------------------

static const char *const ZONES[] = {"zone-a", "zone-b", "zone-c"};

static std::string
make_preset(uint64_t value)
{
	return "{\"format\":1,\"services\":{\"a\":{\"queue_limit\":" +
	       std::to_string(value) +
	       "},\"b\":{}},\"routes\":[{\"name\":\"r\",\"prefix\":\"/"
	       "\",\"service\":\"a\"}]}";
}

Sim::Sim(uint64_t seed_, const Script &script_, config_source_t source_, SimStats *stats_)
    : seed(seed_), script(script_), source(source_), stats(stats_)
{
	rng_init(&rng, seed * 2 + (source == CONFIG_SOURCE_RELAY));
	for (size_t i = 0; i < script.zones.size(); i++) {
		Node node;

		node.zone = script.zones[i];
		node.address = {
		    0x7f000001 + ((uint32_t)node.zone << 16) + (uint32_t)i, 7000};
		node.id = address_to_node_id(&node.address);
		nodes.push_back(node);
	}
}

Sim::~Sim()
{
	pending.clear();
	for (Node &node : nodes)
		spread_destroy(node.spread);
}

uint64_t
Sim::random(uint64_t bound)
{
	return rng_below(&rng, bound);
}

void
Sim::after(uint64_t delay, std::function<void()> action)
{
	pending[{now + delay, order++}] = std::move(action);
}

void
Sim::fail(const std::string &what)
{
	if (fault.empty())
		fault = what + " at " + std::to_string(now / MS) + " ms";
}

bool
Sim::connected(size_t a, size_t b) const
{
	return nodes[a].zone == nodes[b].zone ||
	       (nodes[a].zone != cut_zone && nodes[b].zone != cut_zone);
}

bool
Sim::platform_reachable(size_t node) const
{
	return !outage && !(cut_platform && nodes[node].zone == cut_zone);
}

member_t
Sim::member_of(size_t node, member_state_t state, bool reachable) const
{
	member_t member = {};

	member.node = nodes[node].id;
	member.address = nodes[node].address;
	strcpy(member.zone, ZONES[nodes[node].zone]);
	member.state = state;
	member.reachable = reachable;
	member.config_version = nodes[node].version;
	return member;
}

// Membership as an oracle that is late: what it says is true when it says it.
void
Sim::member_tell(size_t to, size_t about, uint64_t delay)
{
	uint64_t life = nodes[to].life;

	if (to == about || nodes[to].spread == NULL)
		return;
	after(delay, [this, to, about, life] {
		bool reachable = connected(to, about);
		bool alive = nodes[about].spread != NULL;

		// Only members of its own zone declare a member down.
		if (!alive && !reachable)
			return;
		member_t member =
		    member_of(about, alive ? MEMBER_ALIVE : MEMBER_DOWN, reachable);
		to_node(to, life, [this, member](spread_t *spread) {
			spread_member_update(spread, &member, now);
		});
	});
}

void
Sim::member_tell_all(size_t about, uint64_t delay)
{
	for (size_t i = 0; i < nodes.size(); i++)
		member_tell(i, about, delay + random(delay));
}

void
Sim::start(size_t index)
{
	Node &node = nodes[index];
	spread_options_t options = {};

	if (node.spread != NULL)
		return;
	options.node = node.id;
	options.address = node.address;
	options.zone = ZONES[node.zone];
	options.boot = ++node.life;
	options.mode = script.mode;
	options.source = source;
	options.seed = seed * 1000 + index * 100 + node.life;
	options.fan_out = 2;
	spread_create(&options, now, &node.spread);
	node.version = 0;
	node.platform_bad = !platform_reachable(index) || head_version < node.had;
	node.network_bad = cut_zone != -1 || loss > 0;
	for (const Node &other : nodes)
		node.network_bad |= now < other.paused_until;
	node.watching = false;
	node.tick_at = TIME_NEVER;
	stats->restarts += node.life > 1;
	for (size_t i = 0; i < nodes.size(); i++)
		member_tell(index, i, 50 * MS + random(200 * MS));
	member_tell_all(index, 100 * MS);
	drain(index);
	after(random(300 * MS), [this, index] { gossip(index); });
}

void
Sim::stop(size_t index)
{
	Node &node = nodes[index];

	if (node.spread == NULL)
		return;
	spread_destroy(node.spread);
	node.spread = NULL;
	node.life++;
	node.paused_until = 0;
	node.state.clear();
	member_tell_all(index, 1000 * MS);
}

// A datagram: version in force, and the receiver's floor as the sender knows it.
void
Sim::gossip(size_t index)
{
	Node &node = nodes[index];
	uint64_t life = node.life;

	if (node.spread == NULL)
		return;
	for (int i = 0; i < 2 && now >= node.paused_until; i++) {
		size_t to = random(nodes.size());

		if (to == index || nodes[to].spread == NULL || !connected(index, to) ||
		    (int)random(100) < loss)
			continue;
		uint64_t version = node.version;
		uint64_t floor = spread_floor_of(node.spread, nodes[to].id);
		uint64_t from = node.id;
		uint64_t to_life = nodes[to].life;
		after(MS + random(20 * MS), [=] {
			to_node(to, to_life, [=](spread_t *spread) {
				spread_version_heard(spread, from, version, floor, now);
			});
		});
	}
	after(400 * MS, [this, index, life] {
		if (nodes[index].life == life)
			gossip(index);
	});
}

// Runs an event on a node, or later if the node is paused.
void
Sim::to_node(size_t index, uint64_t life, std::function<void(spread_t *)> event)
{
	Node &node = nodes[index];

	if (node.spread == NULL || node.life != life)
		return;
	if (now < node.paused_until) {
		after(node.paused_until - now + random(2 * MS),
		    [=] { to_node(index, life, event); });
		return;
	}
	event(node.spread);
	drain(index);
}

void
Sim::drain(size_t index)
{
	Node &node = nodes[index];
	spread_action_t *action;
	uint64_t life = node.life;

	while ((action = spread_action_take(node.spread)) != NULL) {
		switch (action->kind) {
		case SPREAD_SEND:
			message_send(index, action->node, action->message);
			break;
		case SPREAD_CALL:
			stats->platform_calls++;
			call(index, action);
			break;
		case SPREAD_WATCH_CANCEL:
			node.watching = false;
			break;
		case SPREAD_IN_FORCE:
			in_force(index, action->snapshot);
			break;
		case SPREAD_REFUSED:
			stats->refused++;
			break;
		}
		spread_action_destroy(action);
	}
	uint64_t wake = spread_wake(node.spread);
	if (wake == TIME_NEVER || (node.tick_at <= wake && node.tick_at > now))
		return;
	node.tick_at = wake;
	after(wake > now ? wake - now : 1, [=] {
		if (nodes[index].life == life && nodes[index].tick_at == wake) {
			nodes[index].tick_at = TIME_NEVER;
			to_node(index, life,
			    [this](spread_t *spread) { spread_tick(spread, now); });
		}
	});
}

void
Sim::message_send(size_t from, uint64_t to_id, spread_message_t *message)
{
	uint64_t from_id = nodes[from].id;
	uint64_t from_life = nodes[from].life;
	size_t to = 0;

	while (to < nodes.size() && nodes[to].id != to_id)
		to++;
	if (to == nodes.size())
		return fail("message to a node that is not there");
	uint64_t to_life = nodes[to].life;
	if (nodes[to].spread == NULL || !connected(from, to)) {
		after(MS + random(500 * MS), [=] {
			to_node(from, from_life, [=](spread_t *spread) {
				spread_send_failed(spread, to_id, now);
			});
		});
		return;
	}
	int copies = (int)random(100) < loss ? 0 : random(20) == 0 ? 2 : 1;
	for (int i = 0; i < copies; i++) {
		uint64_t delay = MS / 2 + random(random(10) == 0 ? 300 * MS : 5 * MS);
		std::shared_ptr<spread_message_t> held(
		    spread_message_hold(message), spread_message_release);

		after(delay, [=] {
			// The connection ends with either process and with a cut.
			if (nodes[from].life != from_life || !connected(from, to))
				return;
			to_node(to, to_life, [=](spread_t *spread) {
				spread_message_receive(spread, from_id, held.get(), now);
			});
		});
	}
}

void
Sim::answer(size_t node, uint64_t life, spread_call_t kind, digest_t digest,
    FakePlatform::Answer result, uint64_t delay)
{
	auto held = std::make_shared<FakePlatform::Answer>(std::move(result));

	after(delay, [=] {
		to_node(node, life, [=](spread_t *spread) {
			spread_platform_answer(
			    spread, kind, &digest, fake_answer_seal(held.get()), now);
		});
	});
}

// The request travels, takes effect, and its answer travels; each may be lost.
void
Sim::call_arrives(size_t node, uint64_t life, spread_call_t kind, digest_t digest,
    std::function<FakePlatform::Answer()> effect)
{
	FakePlatform::Answer failed;

	failed.answer.outcome = PLATFORM_UNKNOWN;
	if (!platform_reachable(node)) {
		nodes[node].platform_bad = true;
		failed.answer.outcome = random(2) ? PLATFORM_NOT_SENT : PLATFORM_REFUSED;
		answer(node, life, kind, digest, failed, 5 * MS + random(400 * MS));
		return;
	}
	after(MS + random(2 * MS + slow), [=] {
		bool lost = (int)random(100) < loss;
		if (lost && random(2))
			return answer(node, life, kind, digest, failed, 1000 * MS);
		FakePlatform::Answer result = effect();
		if (lost)
			answer(node, life, kind, digest, failed, 1000 * MS);
		else
			answer(
			    node, life, kind, digest, result, MS + random(2 * MS + slow));
	});
}

void
Sim::call(size_t index, const spread_action_t *action)
{
	Node &node = nodes[index];
	std::string relay_key = std::string("relay/") + ZONES[node.zone];
	digest_t digest = action->digest;
	uint64_t lease = action->lease;
	uint64_t revision = action->revision;
	char text[DIGEST_TEXT_BYTES];
	std::function<FakePlatform::Answer()> effect;

	switch (action->call) {
	case SPREAD_CALL_GET_HEAD:
		effect = [this] { return platform.get("head"); };
		break;
	case SPREAD_CALL_WATCH_HEAD:
		return watch_start(index, revision, action->wait_ms);
	case SPREAD_CALL_GET_PART: {
		digest_format(&digest, text);
		std::string key = std::string("part/") + text;
		effect = [this, key] { return platform.get(key); };
		break;
	}
	case SPREAD_CALL_LEASE_CREATE:
		effect = [this] {
			platform.leases_expire(now);
			return platform.lease_create(SPREAD_LEASE_TTL_MS * MS, now);
		};
		break;
	case SPREAD_CALL_LEASE_RENEW:
		effect = [this, lease] {
			platform.leases_expire(now);
			return platform.lease_renew(lease, SPREAD_LEASE_TTL_MS * MS, now);
		};
		break;
	case SPREAD_CALL_LEASE_REVOKE:
		effect = [this, lease] { return platform.lease_revoke(lease); };
		break;
	case SPREAD_CALL_RELAY_PUT: {
		std::string value = action->text;
		effect = [=] {
			platform.leases_expire(now);
			if (lease == 0)
				fail("relay key without a lease");
			return platform.put(relay_key, value, revision, lease);
		};
		break;
	}
	case SPREAD_CALL_RELAY_GET:
		effect = [=] {
			platform.leases_expire(now);
			return platform.get(relay_key);
		};
		break;
	}
	call_arrives(index, node.life, action->call, digest, effect);
}

void
Sim::watch_start(size_t index, uint64_t after_revision, uint64_t wait_ms)
{
	Node &node = nodes[index];
	Watch watch = {index, node.life, ++node.watch_serial, after_revision};
	FakePlatform::Answer failed;

	if (node.watching)
		fail("two watches of one node");
	node.watching = true;
	if (!platform_reachable(index)) {
		node.platform_bad = true;
		node.watching = false;
		failed.answer.outcome = PLATFORM_NOT_SENT;
		return answer(
		    index, watch.life, SPREAD_CALL_WATCH_HEAD, {}, failed, 20 * MS);
	}
	after(MS + random(2 * MS), [this, watch] {
		watches.push_back(watch);
		watches_wake();
	});
	after(wait_ms * MS, [this, watch] {
		for (size_t i = 0; i < watches.size(); i++) {
			FakePlatform::Answer unchanged;

			if (watches[i].node != watch.node ||
			    watches[i].life != watch.life ||
			    watches[i].serial != watch.serial)
				continue;
			watches.erase(watches.begin() + (long)i);
			nodes[watch.node].watching = false;
			unchanged.answer.outcome = PLATFORM_UNCHANGED;
			return answer(watch.node, watch.life, SPREAD_CALL_WATCH_HEAD, {},
			    unchanged, MS);
		}
	});
}

void
Sim::watches_wake()
{
	FakePlatform::Answer head = platform.get("head");

	for (size_t i = 0; i < watches.size();) {
		Watch watch = watches[i];
		Node &node = nodes[watch.node];

		if (node.life != watch.life || node.watch_serial != watch.serial) {
			watches.erase(watches.begin() + (long)i);
		} else if (head.answer.outcome == PLATFORM_OK &&
			   head.answer.revision > watch.after &&
			   platform_reachable(watch.node)) {
			watches.erase(watches.begin() + (long)i);
			node.watching = false;
			answer(watch.node, watch.life, SPREAD_CALL_WATCH_HEAD, {}, head,
			    MS + random(3 * MS));
		} else {
			i++;
		}
	}
}

// The connections of waiting watches break.
void
Sim::watches_fail()
{
	FakePlatform::Answer failed;

	failed.answer.outcome = PLATFORM_UNKNOWN;
	for (size_t i = 0; i < watches.size();) {
		Watch watch = watches[i];

		if (platform_reachable(watch.node)) {
			i++;
			continue;
		}
		watches.erase(watches.begin() + (long)i);
		if (nodes[watch.node].life == watch.life)
			nodes[watch.node].watching = false;
		answer(watch.node, watch.life, SPREAD_CALL_WATCH_HEAD, {}, failed,
		    random(1000 * MS));
	}
}

// Guarantees --------------------------------------------------------------

// A node that restarted is in force below what it had before. Excused only if
// the platform could not show that version at some time since the start, and
// some connected peer does not know it or the network was disturbed.
void
Sim::moved_back(size_t index, uint64_t version)
{
	Node &node = nodes[index];
	size_t peers = 0, knowing = 0;

	for (size_t i = 0; i < nodes.size(); i++) {
		if (i == index || nodes[i].spread == NULL || !connected(index, i) ||
		    now < nodes[i].paused_until)
			continue;
		peers++;
		knowing += spread_floor_of(nodes[i].spread, node.id) >= node.had;
	}
	bool platform_shows = !node.platform_bad && head_version >= node.had;

	if (platform_shows || (!node.network_bad && peers > 0 && knowing == peers))
		fail("P1: node " + std::to_string(index) + " restarted from version " +
		     std::to_string(node.had) + " to " + std::to_string(version));
	stats->excused++;
}

void
Sim::in_force(size_t index, const snapshot_t *snapshot)
{
	Node &node = nodes[index];
	const preset_t *preset = snapshot->preset;

	stats->applied++;
	if (snapshot->version <= node.version)
		fail("P1: node " + std::to_string(index) + " moved from " +
		     std::to_string(node.version) + " to " +
		     std::to_string(snapshot->version));
	for (size_t i = 0; i < preset->route_count; i++) {
		if (preset->routes[i].service >= preset->service_count)
			fail("P2: dangling reference");
	}
	const preset_service_t *service = preset_service_find(preset, "a");
	node.state = std::to_string(snapshot->version) + " " + snapshot->preset_name +
		     " " + std::to_string(service ? service->queue_limit : 0);
	if (truth.count(node.state) == 0)
		fail("P3: not a committed valid version: " + node.state);
	if (node.version == 0) {
		stats->restarts_routed += node.life > 1;
		if (snapshot->version < node.had)
			moved_back(index, snapshot->version);
		if (snapshot->version < spread_status(node.spread).floor)
			fail("P1: in force below the floor");
	}
	node.version = snapshot->version;
	node.had = std::max(node.had, node.version);
}

// Operators and faults ----------------------------------------------------

int
Sim::commit(commit_kind_t kind, const std::string &preset, uint64_t value)
{
	std::string text = make_preset(value);
	commit_request_t request = {};
	commit_machine_t *machine = NULL;
	FakePlatform::Answer result;
	const platform_answer_t *sealed = NULL;
	int error;

	request.kind = kind;
	request.preset = preset.c_str();
	request.text = text.data();
	request.size = text.size();
	request.operator_name = "ana";
	snprintf(request.operation, sizeof(request.operation), "%032llx",
	    (unsigned long long)++operation);
	request.version_floor = kind == COMMIT_LOOKUP ? 0 : version_top;
	request.deadline = now + NS_PER_S;
	request.clean = operation % 4 == 0;
	commit_machine_create(&request, 1, 1, now, &machine);
	for (;;) {
		commit_action_t action = commit_machine_step(machine, sealed, now);

		if (action.kind == COMMIT_ACTION_FINISH)
			break;
		if (action.kind == COMMIT_ACTION_GET)
			result = platform.get(action.key);
		else if (action.kind == COMMIT_ACTION_LIST)
			result = platform.list(action.key);
		else if (action.kind == COMMIT_ACTION_DELETE)
			result = platform.remove(action.key, action.expect);
		else
			result = platform.put(action.put.key,
			    std::string(action.put.value, action.put.size),
			    action.put.expect, 0);
		sealed = fake_answer_seal(&result);
	}
	error = commit_machine_result(machine)->error;
	commit_machine_destroy(machine);
	if (error == 0 && kind != COMMIT_USE)
		values[preset] = value;
	if (error == 0)
		note_truth();
	return error;
}

void
Sim::note_truth()
{
	const std::string text = platform.keys["head"].value;
	record_head_t *head = NULL;
	char message[MASTICPITCH_MESSAGE_MAX];

	if (record_head_parse(
		text.data(), text.size(), &head, message, sizeof(message)) != 0)
		return fail(message);
	bool valid = true;
	for (size_t i = 0; i < head->preset_count; i++)
		valid &= values[head->presets[i].name] != 0;
	if (valid)
		truth.insert(std::to_string(head->version) + " " + head->in_force + " " +
			     std::to_string(values[head->in_force]));
	head_version = head->version;
	version_top = std::max(version_top, head_version);
	free(head);
	saved.push_back({platform.keys, platform.revision, head_version, values});
	watches_wake();
}

// Writes a head past the client's checks: a preset with a bad reference, or
// with a part that is nowhere.
void
Sim::invalid(uint64_t kind)
{
	const std::string text = platform.keys["head"].value;
	const std::string bad =
	    "{\"format\":1,\"routes\":[{\"name\":\"r\",\"prefix\":\"/\","
	    "\"service\":\"gone" +
	    std::to_string(operation++) + "\"}]}";
	record_head_t *head = NULL;
	record_commit_t entry = {};
	char message[MASTICPITCH_MESSAGE_MAX], digest[DIGEST_TEXT_BYTES];
	buffer_t out;

	if (record_head_parse(
		text.data(), text.size(), &head, message, sizeof(message)) != 0)
		return fail(message);
	size_t which = kind / 2 % head->preset_count;
	digest_compute(bad.data(), bad.size(), &head->presets[which].parts[0]);
	digest_format(&head->presets[which].parts[0], digest);
	if (kind % 2)
		platform.put(std::string("part/") + digest, bad, PLATFORM_EXPECT_ANY, 0);
	entry.version = head->version = std::max(head->version, version_top) + 1;
	snprintf(entry.operation, sizeof(entry.operation), "%032llx",
	    (unsigned long long)++operation);
	strcpy(entry.operator_name, "bad");
	strcpy(entry.action, "edit");
	strcpy(entry.preset, head->presets[which].name);
	record_history_add(head, &entry);
	buffer_init(&out, RECORD_HEAD_MAX);
	record_head_format(head, &out);
	platform.put("head", buffer_text(&out), PLATFORM_EXPECT_ANY, 0);
	buffer_free(&out);
	values[head->presets[which].name] = 0;
	free(head);
	note_truth();
}

void
Sim::regress(uint64_t back)
{
	const State &state =
	    saved[saved.size() - 1 - std::min<uint64_t>(back, saved.size() - 1)];

	platform.keys = state.keys;
	platform.revision = state.revision;
	values = state.values;
	head_version = state.version;
	for (Node &node : nodes)
		node.platform_bad |= head_version < node.had;
	for (auto item = platform.keys.begin(); item != platform.keys.end();)
		item =
		    item->second.lease != 0 ? platform.keys.erase(item) : std::next(item);
	platform.leases.clear();
	stats->regressed++;
}

void
Sim::network_disturbed()
{
	for (Node &node : nodes)
		node.network_bad = true;
}

void
Sim::step(const Script::Step &step)
{
	size_t node = step.a % nodes.size();

	switch (step.kind) {
	case Script::COMMIT:
		commit(step.b % 4 == 0 ? COMMIT_USE : COMMIT_EDIT,
		    step.a % 2 ? "normal" : "peak", 1 + step.b % 1000);
		break;
	case Script::INVALID:
		invalid(step.a);
		after(step.duration / 2, [this, step] {
			if (now >= script.healed_at)
				return; // the final commits replace both
			commit(COMMIT_EDIT, "normal", 1 + step.b % 1000);
			commit(COMMIT_EDIT, "peak", 1 + step.b % 999);
		});
		break;
	case Script::RESTART:
		// Sometimes most nodes at once.
		for (size_t i = 0; i < nodes.size(); i++) {
			if (i != node && (step.b % 4 != 0 || i % 3 == 2))
				continue;
			stop(i);
			after(50 * MS + step.duration % (1500 * MS),
			    [this, i] { start(i); });
		}
		break;
	case Script::PAUSE:
		nodes[node].paused_until = now + 2 * step.duration;
		network_disturbed();
		break;
	case Script::CUT:
		if (cut_zone != -1)
			break;
		cut_zone = nodes[node].zone;
		cut_platform = step.b % 2;
		network_disturbed();
		watches_fail();
		for (size_t i = 0; i < nodes.size(); i++)
			member_tell_all(i, 1500 * MS);
		after(step.duration, [this] {
			cut_zone = -1;
			cut_platform = false;
			network_disturbed();
			for (size_t i = 0; i < nodes.size(); i++)
				member_tell_all(i, 150 * MS);
		});
		break;
	case Script::OUTAGE:
		outage = true;
		watches_fail();
		after(step.duration, [this] { outage = false; });
		break;
	case Script::SLOW:
		slow = 700 * MS;
		after(step.duration, [this] { slow = 0; });
		break;
	case Script::REGRESS:
		regress(1 + step.a % 3);
		break;
	case Script::LOSS:
		loss = 10 + (int)(step.a % 40);
		network_disturbed();
		after(step.duration, [this] { loss = 0; });
		break;
	}
}

void
Sim::heal()
{
	outage = false;
	slow = 0;
	loss = 0;
	cut_zone = -1;
	cut_platform = false;
	for (size_t i = 0; i < nodes.size(); i++) {
		nodes[i].paused_until = 0;
		start(i);
		member_tell_all(i, 150 * MS);
	}
	after(1000 * MS, [this] { final_commit(); });
}

void
Sim::final_commit()
{
	commit(COMMIT_EDIT, "peak", 11);
	commit(COMMIT_EDIT, "normal", 12);
	commit(COMMIT_USE, "normal", 0);
	final_at = now;
	final_state = std::to_string(version_top) + " normal 12";
	settle_check();
}

// Each node has to hold the last version; the bound is far above the backoff.
void
Sim::settle_check()
{
	size_t behind = 0;

	for (size_t i = 0; i < nodes.size(); i++)
		behind += nodes[i].state != final_state;
	if (behind == 0) {
		stats->convergence.push_back(now - final_at);
		stats->convergence_max = std::max(stats->convergence_max, now - final_at);
		pending.clear();
	} else if (now > final_at + 40 * NS_PER_S) {
		fail(std::to_string(behind) + " nodes do not hold " + final_state);
	} else {
		after(5 * MS, [this] { settle_check(); });
	}
}

bool
Sim::run()
{
	commit(COMMIT_CREATE, "normal", 1);
	commit(COMMIT_CREATE, "peak", 2);
	for (size_t i = 0; i < nodes.size(); i++)
		start(i);
	for (const Script::Step &item : script.steps)
		after(item.at, [this, &item] { step(item); });
	after(script.healed_at, [this] { heal(); });
	while (!pending.empty() && fault.empty()) {
		auto next = pending.begin();
		std::function<void()> action = std::move(next->second);

		now = next->first.first;
		pending.erase(next);
		action();
		stats->events++;
	}
	return fault.empty();
}

// Tests -------------------------------------------------------------------

static void
seeds_run(uint64_t first, uint64_t count)
{
	SimStats real, naive;

	for (uint64_t seed = first; seed < first + count; seed++) {
		Script script = Script::make(seed);
		Sim a(seed, script, CONFIG_SOURCE_RELAY, &real);
		ASSERT_TRUE(a.run()) << "real variant, seed " << seed << ": " << a.fault;
		Sim b(seed, script, CONFIG_SOURCE_WATCH, &naive);
		ASSERT_TRUE(b.run()) << "naive variant, seed " << seed << ": " << b.fault;
		ASSERT_EQ(a.final_state, b.final_state) << "seed " << seed;
	}
	std::sort(real.convergence.begin(), real.convergence.end());
	std::sort(naive.convergence.begin(), naive.convergence.end());
	for (const SimStats *s : {&real, &naive})
		printf(
		    "%s: events %lu, applied %lu, refused %lu, restarts %lu (in force "
		    "%lu, "
		    "below their last version %lu), regressions %lu, platform calls %lu, "
		    "convergence ms p50 %lu p99 %lu max %lu\n",
		    s == &real ? "real" : "naive", s->events, s->applied, s->refused,
		    s->restarts, s->restarts_routed, s->excused, s->regressed,
		    s->platform_calls, s->convergence[s->convergence.size() / 2] / MS,
		    s->convergence[s->convergence.size() * 99 / 100] / MS,
		    s->convergence_max / MS);
}

TEST(Spread, DifferentialSeeds)
{
	const char *first = getenv("SPREAD_FIRST");
	const char *count = getenv("SPREAD_SEEDS");

	seeds_run(first ? strtoull(first, NULL, 10) : 1,
	    count ? strtoull(count, NULL, 10) : 2000);
}
