// Guards against decisions by the time of day, which may jump by hours in either
// direction. Each read of it in the program (see the link options of this test) gives a
// different time here; only log lines, dates and the incarnation of a start may show it.
#include "common_entry.h"
#include "log.h"

#include <atomic>
#include <fstream>
#include <sstream>

static std::atomic<uint64_t> reads{0};

// Jumps by up to a day with each read.
static uint64_t
jumping_wall_ms()
{
	uint64_t read = ++reads;

	return UINT64_C(1700000000000) + (read * 7919 % 49 - 24) * UINT64_C(3600000);
}

extern "C" {
uint64_t __wrap_os_clock_wall_ms(void);

uint64_t
__wrap_os_clock_wall_ms(void)
{
	return jumping_wall_ms();
}
}

namespace
{

TEST_F(Entry, RequestsDoNotDependOnTheTimeOfDay)
{
	std::unique_ptr<RawConnection> idle, slow;
	uint64_t reads_before = reads, start;

	ready();
	idle = send_request(get("/katalogo/0"));
	answer(attempt("/katalogo/0"), "kept open", 9);
	ASSERT_TRUE(run_until([&] { return idle->has("kept open"); }));
	for (int i = 1; i <= 50; i++) {
		std::string path = "/katalogo/" + std::to_string(i);
		std::unique_ptr<RawConnection> caller = send_request(get(path));

		answer(attempt(path), "served", 6);
		ASSERT_TRUE(run_until([&] { return caller->has("served"); })) << i;
	}
	start = os_clock_monotonic();
	slow = send_request(get("/katalogo/x", "Masticpitch-Deadline-Ms: 300\r\n"));
	ASSERT_TRUE(run_until([&] { return slow->has("}"); }));
	EXPECT_GE(os_clock_monotonic() - start, 300 * NS_PER_MS);
	EXPECT_LE(os_clock_monotonic() - start, 5 * NS_PER_S);
	// The connection is neither closed nor forgotten.
	idle->input.clear();
	idle->write(get("/katalogo/again"));
	answer(attempt("/katalogo/again"), "still", 5);
	EXPECT_TRUE(run_until([&] { return idle->has("still"); }));
	EXPECT_GT(reads, reads_before);
}

// The order of lines and the rate limit follow the steady clock.
TEST(Log, LinesCarryASteadyTime)
{
	char path[] = "/tmp/masticpitch-log-XXXXXX";
	int fd = mkstemp(path);
	uint64_t last = 0, lines = 0;
	const log_field_t fields[] = {{LOG_KIND_END, NULL, NULL, 0}};
	std::string line;
	log_t log;

	ASSERT_GE(fd, 0);
	log_init(&log, fd, LOG_LEVEL_INFO);
	for (int i = 0; i < 100; i++)
		log_write(&log, LOG_LEVEL_INFO, "a message", fields);
	close(fd);
	std::ifstream file(path);
	while (std::getline(file, line)) {
		size_t at = line.find("\"monotonic_ms\":");

		ASSERT_NE(at, std::string::npos) << line;
		EXPECT_GE(strtoull(&line[at + 15], NULL, 10), last);
		last = strtoull(&line[at + 15], NULL, 10);
		lines++;
	}
	unlink(path);
	// The limit is 10 lines a second; the test may pass the end of one.
	EXPECT_GE(lines, 10u);
	EXPECT_LE(lines, 20u);
}

} // namespace
