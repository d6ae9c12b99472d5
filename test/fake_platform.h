// In-memory model of the platform's key-value service: one global revision,
// compare-and-swap, leases in virtual time; copying it copies the state.
#ifndef FAKE_PLATFORM_H
#define FAKE_PLATFORM_H

#include "platform.h"

#include <map>
#include <string>
#include <vector>

struct FakePlatform {
	struct Entry {
		std::string value;
		uint64_t revision;
		uint64_t lease;
	};
	struct Answer {
		platform_answer_t answer = {};
		std::string value;
		std::vector<std::string> keys;
		std::vector<platform_entry_t> entries;
	};

	std::map<std::string, Entry> keys;
	std::map<uint64_t, uint64_t> leases; // id, time of expiry
	uint64_t revision = 0;
	uint64_t next_lease = 0;

	Answer
	get(const std::string &key) const
	{
		Answer result;
		auto item = keys.find(key);

		result.answer.outcome = PLATFORM_NOT_FOUND;
		if (item != keys.end()) {
			result.answer.outcome = PLATFORM_OK;
			result.answer.revision = item->second.revision;
			result.value = item->second.value;
		}
		return result;
	}
	Answer
	put(const std::string &key, const std::string &value, uint64_t expect,
	    uint64_t lease)
	{
		Answer result;
		auto item = keys.find(key);
		uint64_t current = item == keys.end() ? 0 : item->second.revision;

		if (expect != PLATFORM_EXPECT_ANY && expect != current) {
			result.answer.outcome = PLATFORM_CONFLICT;
			result.answer.revision = current;
		} else if (lease != 0 && leases.count(lease) == 0) {
			result.answer.outcome = PLATFORM_NOT_FOUND;
		} else {
			keys[key] = Entry{value, ++revision, lease};
			result.answer.outcome = PLATFORM_OK;
			result.answer.revision = revision;
		}
		return result;
	}
	Answer
	remove(const std::string &key, uint64_t expect)
	{
		Answer result;
		auto item = keys.find(key);

		result.answer.outcome = PLATFORM_NOT_FOUND;
		if (item == keys.end())
			return result;
		result.answer.outcome = PLATFORM_CONFLICT;
		result.answer.revision = item->second.revision;
		if (expect == PLATFORM_EXPECT_ANY || expect == item->second.revision) {
			keys.erase(item);
			revision++;
			result.answer.outcome = PLATFORM_OK;
		}
		return result;
	}
	Answer
	list(const std::string &prefix) const
	{
		Answer result;

		result.answer.outcome = PLATFORM_OK;
		for (auto item = keys.lower_bound(prefix);
		     item != keys.end() &&
		     item->first.compare(0, prefix.size(), prefix) == 0;
		     ++item) {
			result.keys.push_back(item->first);
			result.entries.push_back({NULL, item->second.value.c_str(),
			    item->second.value.size(), item->second.revision});
		}
		return result;
	}
	Answer
	lease_create(uint64_t ttl, uint64_t now)
	{
		Answer result;

		leases[++next_lease] = now + ttl;
		result.answer.outcome = PLATFORM_OK;
		result.answer.lease = next_lease;
		return result;
	}
	Answer
	lease_renew(uint64_t lease, uint64_t ttl, uint64_t now)
	{
		Answer result;

		result.answer.outcome = PLATFORM_NOT_FOUND;
		if (leases.count(lease) != 0) {
			leases[lease] = now + ttl;
			result.answer.outcome = PLATFORM_OK;
		}
		return result;
	}
	Answer
	lease_revoke(uint64_t lease)
	{
		Answer result;

		result.answer.outcome =
		    leases.erase(lease) ? PLATFORM_OK : PLATFORM_NOT_FOUND;
		for (auto item = keys.begin(); item != keys.end();) {
			bool ends = item->second.lease == lease;
			if (ends)
				revision++;
			item = ends ? keys.erase(item) : std::next(item);
		}
		return result;
	}
	void
	leases_expire(uint64_t now)
	{
		std::vector<uint64_t> ended;

		for (const auto &lease : leases)
			if (lease.second <= now)
				ended.push_back(lease.first);
		for (uint64_t lease : ended)
			lease_revoke(lease);
	}
};

// Sets the answer's pointers to the values it owns; the result must not be moved later.
inline const platform_answer_t *
fake_answer_set_pointers(FakePlatform::Answer *result)
{
	if (result->answer.outcome == PLATFORM_OK) {
		result->answer.value = result->value.c_str();
		result->answer.size = result->value.size();
	}
	for (size_t i = 0; i < result->entries.size(); i++)
		result->entries[i].key = result->keys[i].c_str();
	result->answer.entries = result->entries.data();
	result->answer.entry_count = result->entries.size();
	return &result->answer;
}

#endif
