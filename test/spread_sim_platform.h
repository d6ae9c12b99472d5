// Platform part of the spread simulation: calls, watches, commits, invalid records
// and regressions. Included once, by test_spread.cc.
#ifndef MASTICPITCH_SPREAD_SIM_PLATFORM_H
#define MASTICPITCH_SPREAD_SIM_PLATFORM_H
#include "spread_sim.h"

void
Sim::answer(size_t node, uint64_t epoch, spread_call_t kind, digest_t digest,
    FakePlatform::Answer result, uint64_t delay)
{
	auto shared = std::make_shared<FakePlatform::Answer>(std::move(result));
	uint64_t serial = nodes[node].watch_serial;

	after(delay, [=] {
		event_deliver(node, epoch, [=](spread_t *spread) {
			// A cancelled watch has no answer.
			if (kind == SPREAD_CALL_WATCH_HEAD &&
			    nodes[node].watch_serial != serial)
				return;
			spread_platform_answer(spread, kind, &digest,
			    fake_answer_set_pointers(shared.get()), now);
		});
	});
}

// Adds the revision and epoch of the store as they are now, if it names them.
FakePlatform::Answer
Sim::epoch_stamp(FakePlatform::Answer result) const
{
	if (store_epoch != 0) {
		result.answer.store_revision = platform.revision;
		result.answer.store_epoch = store_epoch;
	}
	return result;
}

// Applies the effect of a call after a delay and delivers the answer after another
// one; request and answer may be lost.
void
Sim::call_deliver(size_t node, uint64_t epoch, spread_call_t kind, digest_t digest,
    std::function<FakePlatform::Answer()> effect)
{
	FakePlatform::Answer failed;

	failed.answer.outcome = PLATFORM_UNKNOWN;
	if (!platform_reachable(node)) {
		nodes[node].platform_disturbed = true;
		failed.answer.outcome = random(2) ? PLATFORM_NOT_SENT : PLATFORM_REFUSED;
		answer(node, epoch, kind, digest, failed, 5 * MS + random(400 * MS));
		return;
	}
	after(MS + random(2 * MS + slow), [=] {
		bool lost = (int)random(100) < loss;
		if (lost && random(2))
			return answer(node, epoch, kind, digest, failed, 1000 * MS);
		FakePlatform::Answer result = epoch_stamp(effect());
		if (lost)
			answer(node, epoch, kind, digest, failed, 1000 * MS);
		else
			answer(node, epoch, kind, digest, result,
			    MS + random(2 * MS + slow));
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
				fail("relay key is put without a lease");
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
	call_deliver(index, node.epoch, action->call, digest, effect);
}

void
Sim::watch_start(size_t index, uint64_t after_revision, uint64_t wait_ms)
{
	Node &node = nodes[index];
	Watch watch = {index, node.epoch, ++node.watch_serial, after_revision};
	FakePlatform::Answer failed;

	if (node.watching)
		fail("a node has two watches at the same time");
	node.watching = true;
	if (!platform_reachable(index)) {
		node.platform_disturbed = true;
		node.watching = false;
		failed.answer.outcome = PLATFORM_NOT_SENT;
		return answer(
		    index, watch.epoch, SPREAD_CALL_WATCH_HEAD, {}, failed, 20 * MS);
	}
	after(MS + random(2 * MS), [this, watch] {
		watches.push_back(watch);
		watches_notify();
	});
	after(wait_ms * MS, [this, watch] {
		for (size_t i = 0; i < watches.size(); i++) {
			FakePlatform::Answer unchanged;

			if (watches[i].node != watch.node ||
			    watches[i].epoch != watch.epoch ||
			    watches[i].serial != watch.serial)
				continue;
			watches.erase(watches.begin() + (long)i);
			nodes[watch.node].watching = false;
			unchanged.answer.outcome = PLATFORM_UNCHANGED;
			return answer(watch.node, watch.epoch, SPREAD_CALL_WATCH_HEAD, {},
			    epoch_stamp(unchanged), MS);
		}
	});
}

void
Sim::watches_notify()
{
	FakePlatform::Answer head = epoch_stamp(platform.get("head"));

	for (size_t i = 0; i < watches.size();) {
		Watch watch = watches[i];
		Node &node = nodes[watch.node];

		if (node.epoch != watch.epoch || node.watch_serial != watch.serial) {
			watches.erase(watches.begin() + (long)i);
		} else if (head.answer.outcome == PLATFORM_OK &&
			   head.answer.revision > watch.after &&
			   platform_reachable(watch.node)) {
			watches.erase(watches.begin() + (long)i);
			node.watching = false;
			answer(watch.node, watch.epoch, SPREAD_CALL_WATCH_HEAD, {}, head,
			    MS + random(3 * MS));
		} else {
			i++;
		}
	}
}

// Fails the pending watches of nodes that can't reach the platform any more.
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
		if (nodes[watch.node].epoch == watch.epoch)
			nodes[watch.node].watching = false;
		answer(watch.node, watch.epoch, SPREAD_CALL_WATCH_HEAD, {}, failed,
		    random(1000 * MS));
	}
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
	request.version_floor = kind == COMMIT_LOOKUP ? 0 : version_max;
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
		sealed = fake_answer_set_pointers(&result);
	}
	error = commit_machine_result(machine)->error;
	commit_machine_destroy(machine);
	if (error == 0 && kind != COMMIT_USE)
		values[preset] = value;
	if (error == 0)
		committed_state_record();
	return error;
}

void
Sim::committed_state_record()
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
		committed_states.insert(std::to_string(head->version) + " " +
					head->in_force + " " +
					std::to_string(values[head->in_force]));
	head_version = head->version;
	head_is_valid = valid;
	version_max = std::max(version_max, head_version);
	free(head);
	saved.push_back({platform.keys, platform.revision, platform.next_lease,
	    head_version, head_is_valid, values});
	for (Node &node : nodes)
		node.platform_disturbed |= !head_is_valid;
	watches_notify();
}

// Writes a head without the checks of the client: one preset has a dangling
// reference, or names a part that is not stored.
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
	entry.version = head->version = std::max(head->version, version_max) + 1;
	snprintf(entry.operation, sizeof(entry.operation), "%032llx",
	    (unsigned long long)++operation);
	strcpy(entry.operator_name, "bad");
	strcpy(entry.action, "edit");
	strcpy(entry.preset, head->presets[which].name);
	record_history_add(head, &entry);
	buffer_init(&out, RECORD_HEAD_MAX_BYTES);
	record_head_format(head, &out);
	platform.put("head", buffer_text(&out), PLATFORM_EXPECT_ANY, 0);
	buffer_free(&out);
	values[head->presets[which].name] = 0;
	free(head);
	committed_state_record();
}

void
Sim::regress(uint64_t back)
{
	const State &state =
	    saved[saved.size() - 1 - std::min<uint64_t>(back, saved.size() - 1)];

	platform.keys = state.keys;
	platform.revision = state.revision;
	if (store_epoch != 0) {
		platform.next_lease = state.next_lease;
		store_epoch++;
	}
	values = state.values;
	head_version = state.version;
	head_is_valid = state.valid;
	for (Node &node : nodes)
		node.platform_disturbed |=
		    !head_is_valid || head_version < node.version_max_in_force;
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
		node.network_was_disturbed = true;
}

#endif
