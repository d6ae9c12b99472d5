// Hosts that read a store, in virtual time. The store is restored from a copy: revisions
// and leases go back and are given out again, and its epoch rises. It refuses some hosts
// or falls silent to them; messages between hosts are lost. Membership notices none of
// it.
#ifndef RESTORABLE_STORE_H
#define RESTORABLE_STORE_H

#include "fake_platform.h"
#include "os.h"
#include "spread.h"
#include "util.h"

#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <set>
#include <string.h>
#include <string>
#include <vector>

class RestorableStore
{
      public:
	static const uint64_t MS = NS_PER_MS;
	static const uint64_t LATENCY_NS = 2 * NS_PER_MS; // one way
	static const uint32_t LINK_MBPS = 1000;
	static const uint64_t TIMEOUT_NS = 1000 * NS_PER_MS; // of a call
	static const uint64_t HISTORY_NS = 20 * NS_PER_S;
	struct Host {
		uint64_t id;
		spread_t *spread = NULL;
		uint64_t tick_at = TIME_NEVER;
		uint64_t frozen_until = 0;
		uint64_t watch_serial = 0;
		bool watching = false; // at the store
		uint64_t watch_after = 0;
		std::map<uint64_t, uint64_t> in_force_at; // by version
		std::map<spread_call_t, uint64_t> calls;  // number by kind
		std::vector<uint64_t> revoked;		  // leases
		bool refused = false;	      // the store refuses all its calls
		bool watch_is_silent = false; // the answer to its watch is lost
	};

	uint64_t now = 100 * NS_PER_S;
	std::vector<Host> hosts;
	FakePlatform store;
	uint64_t epoch = 1;
	// The answer to a waiting watch is lost, as on a connection that went silent.
	bool watches_are_silent = false;
	bool parts_are_unavailable = false;
	uint64_t head_answer_delay = LATENCY_NS; // of reads of the head
	uint64_t message_latency = LATENCY_NS;	 // between hosts
	uint64_t apply_ns = 0;			 // of hosts that start; 0: the default
	std::map<uint64_t, uint64_t> written_at; // by version
	// Pairs of hosts of which the second one gets no message of the first one.
	std::set<std::pair<size_t, size_t>> cuts;

	RestorableStore()
	{
		record_parts_init(&parts);
	}
	~RestorableStore()
	{
		events.clear();
		for (Host &host : hosts)
			spread_destroy(host.spread);
		record_parts_clear(&parts);
	}
	// A host that knows no other one yet; the result is its index.
	size_t
	host_start(const char *zone)
	{
		spread_options_t options = {};
		Host host;
		address_t address = {0x0a000001u + (uint32_t)hosts.size(), 7000};

		host.id = address_to_node_id(&address);
		options.node = host.id;
		options.address = address;
		options.zone = zone;
		options.boot = 1;
		options.mode = SPREAD_FRUGAL;
		options.source = CONFIG_SOURCE_RELAY;
		options.watchers = 2;
		options.link_mbps = LINK_MBPS;
		options.seed = hosts.size() + 1;
		options.apply_ns = apply_ns;
		hosts.push_back(host);
		zones.push_back(zone);
		EXPECT_EQ(spread_create(&options, now, &hosts.back().spread), 0);
		drain(hosts.size() - 1);
		return hosts.size() - 1;
	}
	void
	run(uint64_t duration)
	{
		uint64_t end = now + duration;

		while (!events.empty() && events.begin()->first.first <= end) {
			auto next = events.begin();
			std::function<void()> action = std::move(next->second);

			now = next->first.first;
			events.erase(next);
			action();
		}
		now = end;
	}
	// The operator writes a version.
	void
	write(uint64_t version)
	{
		store.put("head", document(version), PLATFORM_EXPECT_ANY, 0);
		written_at[version] = now;
		changed(true);
	}
	// A write of another key.
	void
	write_other()
	{
		store.put("other", "x", PLATFORM_EXPECT_ANY, 0);
		changed(false);
	}
	void
	copy_take()
	{
		copy = store;
	}
	void
	copy_restore()
	{
		store = copy;
		epoch++;
	}
	// Nothing reaches the host, or runs on it, for that time.
	void
	freeze(size_t host, uint64_t duration)
	{
		hosts[host].frozen_until = now + duration;
	}
	// The store refuses all calls of the host, a waiting watch too.
	void
	refuse(size_t host)
	{
		FakePlatform::Answer refused;

		hosts[host].refused = true;
		refused.answer.outcome = PLATFORM_REFUSED;
		if (!hosts[host].watching)
			return;
		watch_forget(host);
		answer(host, SPREAD_CALL_WATCH_HEAD, {}, refused);
	}
	// No message passes between the host and any other one.
	void
	cut_off(size_t host)
	{
		for (size_t other = 0; other < hosts.size(); other++) {
			cuts.insert({host, other});
			cuts.insert({other, host});
		}
	}
	uint64_t
	version(size_t host) const
	{
		return spread_status(hosts[host].spread).version;
	}
	// A message from a node, which need not be one of the hosts.
	void
	message(uint64_t from, size_t to, spread_message_t *message)
	{
		std::shared_ptr<spread_message_t> held(
		    spread_message_hold(message), spread_message_release);

		after(message_latency, [=, this] {
			deliver(to, [=, this](spread_t *spread) {
				spread_message_receive(spread, from, held.get(), now);
			});
		});
	}
	// A host learns of another one.
	void
	member(size_t host, size_t about)
	{
		member_t member = {};

		member.node = hosts[about].id;
		strcpy(member.zone, zones[about].c_str());
		member.link_mbps = LINK_MBPS;
		member.state = MEMBER_ALIVE;
		member.reachable = true;
		spread_member_update(hosts[host].spread, &member, now);
		drain(host);
	}
	void
	drain(size_t index)
	{
		Host &host = hosts[index];
		spread_action_t *action;
		uint64_t wake;

		while ((action = spread_action_take(host.spread)) != NULL) {
			if (action->kind == SPREAD_CALL)
				call(index, action);
			else if (action->kind == SPREAD_WATCH_CANCEL)
				watch_forget(index);
			else if (action->kind == SPREAD_IN_FORCE)
				in_force(index, action->snapshot->version);
			else if (action->kind == SPREAD_SEND)
				send(index, action->node, action->message);
			spread_action_destroy(action);
		}
		wake = spread_next_wake_at(host.spread);
		if (wake == TIME_NEVER || (host.tick_at <= wake && host.tick_at > now))
			return;
		host.tick_at = wake;
		after(wake > now ? wake - now : 1, [this, index, wake] {
			if (hosts[index].tick_at != wake)
				return;
			hosts[index].tick_at = TIME_NEVER;
			deliver(index,
			    [this](spread_t *spread) { spread_tick(spread, now); });
		});
	}

      private:
	uint64_t order = 0;
	std::map<std::pair<uint64_t, uint64_t>, std::function<void()>> events;
	std::vector<std::string> zones;
	FakePlatform copy;
	record_parts_t parts;
	std::map<uint64_t, uint64_t> changed_at; // by revision, of the present store

	std::string
	document(uint64_t version)
	{
		std::string texts[] = {"{\"format\":1,\"routes\":[]}",
		    "{\"format\":1,\"services\":{\"a\":{\"queue_limit\":" +
			std::to_string(version) + "}}}"};
		buffer_t buffers[2];
		buffer_t head;
		std::string text;

		for (int i = 0; i < 2; i++) {
			buffer_init(&buffers[i], RECORD_PART_MAX_BYTES);
			buffer_append(&buffers[i], texts[i].data(), texts[i].size());
		}
		buffer_init(&head, RECORD_HEAD_MAX_BYTES);
		EXPECT_EQ(record_document_build(version, buffers, 2, &parts, &head), 0);
		text.assign((const char *)head.data, head.size);
		buffer_free(&head);
		for (buffer_t &buffer : buffers)
			buffer_free(&buffer);
		return text;
	}
	void
	send(size_t from, uint64_t to, spread_message_t *text)
	{
		for (size_t i = 0; i < hosts.size(); i++)
			if (hosts[i].id == to && cuts.count({from, i}) == 0)
				message(hosts[from].id, i, text);
	}
	void
	after(uint64_t delay, std::function<void()> action)
	{
		events[{now + delay, order++}] = std::move(action);
	}
	// Runs an event on a host; if it is frozen, after that.
	void
	deliver(size_t index, std::function<void(spread_t *)> event)
	{
		if (now < hosts[index].frozen_until) {
			after(hosts[index].frozen_until - now,
			    [=, this] { deliver(index, event); });
			return;
		}
		event(hosts[index].spread);
		drain(index);
	}
	void
	in_force(size_t index, uint64_t version)
	{
		std::map<uint64_t, uint64_t> &known = hosts[index].in_force_at;

		if (!known.empty()) {
			EXPECT_GT(version, known.rbegin()->first);
		}
		known[version] = now;
	}
	// The oldest revision that the history reaches back to.
	uint64_t
	history_start() const
	{
		uint64_t start = 0;

		for (const auto &change : changed_at)
			if (change.second + HISTORY_NS < now)
				start = change.first;
		return start;
	}
	void
	answer(size_t index, spread_call_t kind, digest_t digest,
	    FakePlatform::Answer result, uint64_t delay = LATENCY_NS)
	{
		auto shared = std::make_shared<FakePlatform::Answer>(std::move(result));
		uint64_t serial = hosts[index].watch_serial;

		after(delay, [=, this] {
			deliver(index, [=, this](spread_t *spread) {
				// A cancelled watch has no answer.
				if (kind == SPREAD_CALL_WATCH_HEAD &&
				    hosts[index].watch_serial != serial)
					return;
				spread_platform_answer(spread, kind, &digest,
				    fake_answer_set_pointers(shared.get()), now);
			});
		});
	}
	FakePlatform::Answer
	stamped(FakePlatform::Answer result) const
	{
		result.answer.store_revision = store.revision;
		result.answer.store_epoch = epoch;
		return result;
	}
	void
	call(size_t index, const spread_action_t *action)
	{
		spread_call_t kind = action->call;
		digest_t digest = action->digest;
		uint64_t lease = action->lease, revision = action->revision;
		std::string value = action->text != NULL ? action->text : "";
		std::string key = "relay/" + zones[index];

		hosts[index].calls[kind]++;
		if (hosts[index].refused) {
			FakePlatform::Answer refused;

			if (kind == SPREAD_CALL_WATCH_HEAD)
				watch_forget(index);
			refused.answer.outcome = PLATFORM_REFUSED;
			answer(index, kind, digest, refused, 2 * LATENCY_NS);
			return;
		}
		if (kind == SPREAD_CALL_LEASE_REVOKE)
			hosts[index].revoked.push_back(lease);
		if (kind == SPREAD_CALL_WATCH_HEAD) {
			watch(index, revision, action->wait_ms);
			return;
		}
		if (kind == SPREAD_CALL_GET_PART) {
			const chunk_t *part = record_parts_find(&parts, &digest);
			FakePlatform::Answer result;

			ASSERT_NE(part, nullptr);
			result.answer.outcome =
			    parts_are_unavailable ? PLATFORM_REFUSED : PLATFORM_OK;
			if (!parts_are_unavailable)
				result.value.assign((const char *)part->data, part->size);
			answer(index, kind, digest, result, 1);
			return;
		}
		after(LATENCY_NS, [=, this] {
			FakePlatform::Answer result;

			store.leases_expire(now);
			if (kind == SPREAD_CALL_GET_HEAD)
				result = store.get("head");
			else if (kind == SPREAD_CALL_RELAY_GET)
				result = store.get(key);
			else if (kind == SPREAD_CALL_RELAY_PUT)
				result = store.put(key, value, revision, lease);
			else if (kind == SPREAD_CALL_LEASE_CREATE)
				result =
				    store.lease_create(SPREAD_LEASE_TTL_MS * MS, now);
			else if (kind == SPREAD_CALL_LEASE_RENEW)
				result = store.lease_renew(
				    lease, SPREAD_LEASE_TTL_MS * MS, now);
			else
				result = store.lease_revoke(lease);
			changed(false);
			answer(index, kind, digest, stamped(result),
			    kind == SPREAD_CALL_GET_HEAD ? head_answer_delay
							 : LATENCY_NS);
		});
	}
	void
	watch(size_t index, uint64_t revision, uint32_t wait_ms)
	{
		uint64_t serial = ++hosts[index].watch_serial;

		after(LATENCY_NS, [=, this] {
			Host &host = hosts[index];

			if (host.watch_serial != serial)
				return;
			if (revision > store.revision || revision < history_start()) {
				FakePlatform::Answer lost; // the history is not available

				lost.answer.outcome = PLATFORM_UNCHANGED;
				lost.answer.store_epoch = epoch;
				answer(index, SPREAD_CALL_WATCH_HEAD, {}, lost);
				return;
			}
			host.watching = true;
			host.watch_after = revision;
			changed(false);
		});
		after(TIMEOUT_NS + wait_ms * MS, [=, this] {
			FakePlatform::Answer failed;

			failed.answer.outcome = PLATFORM_UNKNOWN;
			if (hosts[index].watch_serial != serial)
				return;
			watch_forget(index);
			answer(index, SPREAD_CALL_WATCH_HEAD, {}, failed, 1);
		});
		after(LATENCY_NS + wait_ms * MS, [=, this] {
			FakePlatform::Answer unchanged;

			if (hosts[index].watch_serial != serial || !hosts[index].watching)
				return;
			unchanged.answer.outcome = PLATFORM_UNCHANGED;
			if (watches_are_silent || hosts[index].watch_is_silent)
				return;
			watch_forget(index);
			answer(index, SPREAD_CALL_WATCH_HEAD, {}, stamped(unchanged));
		});
	}
	void
	watch_forget(size_t index)
	{
		hosts[index].watching = false;
		hosts[index].watch_serial++;
	}
	// Records a change of the store and answers the watches that it concerns.
	void
	changed(bool head)
	{
		changed_at.erase(
		    changed_at.upper_bound(store.revision), changed_at.end());
		if (changed_at.count(store.revision) == 0 || head)
			changed_at[store.revision] = now;
		for (size_t i = 0; i < hosts.size(); i++) {
			FakePlatform::Answer result = store.get("head");

			if (!hosts[i].watching || result.answer.outcome != PLATFORM_OK ||
			    result.answer.revision <= hosts[i].watch_after ||
			    watches_are_silent || hosts[i].watch_is_silent)
				continue;
			watch_forget(i);
			answer(i, SPREAD_CALL_WATCH_HEAD, {}, stamped(result));
		}
	}
};

#endif
