// Fixture of the entry's tests: the entry service between raw callers and fake
// gate, peer, membership and config services.
#ifndef MASTICPITCH_COMMON_ENTRY_H
#define MASTICPITCH_COMMON_ENTRY_H

#include "common_request.h"
#include "entry.h"

namespace
{

const uint64_t REMOTE = 77;

const char PRESET[] =
    "{\"format\":1,\"services\":{\"katalogo\":{},\"pamigay\":{}},\"routes\":["
    "{\"name\":\"list\",\"methods\":[\"GET\",\"HEAD\"],\"prefix\":\"/katalogo/\","
    "\"service\":\"katalogo\",\"class\":\"lookup\",\"idempotent\":true,"
    "\"deadline_ms\":5000,\"min_attempt_ms\":1,\"attempts\":3,"
    "\"body_limit_bytes\":65536},"
    "{\"name\":\"inner\",\"methods\":[\"GET\"],\"prefix\":\"/katalogo/inner/\","
    "\"service\":\"katalogo\",\"class\":\"internal\",\"idempotent\":true,"
    "\"deadline_ms\":5000,\"min_attempt_ms\":1,\"attempts\":3,"
    "\"body_limit_bytes\":65536},"
    "{\"name\":\"book\",\"methods\":[\"POST\"],\"prefix\":\"/katalogo/book/\","
    "\"service\":\"katalogo\",\"class\":\"call\",\"deadline_ms\":5000,"
    "\"min_attempt_ms\":1,\"attempts\":3,\"body_limit_bytes\":200000},"
    "{\"name\":\"up\",\"methods\":[\"PUT\"],\"prefix\":\"/katalogo/up/\","
    "\"service\":\"katalogo\",\"class\":\"upload\",\"deadline_ms\":60000,"
    "\"min_attempt_ms\":1,\"attempts\":3,\"body_limit_bytes\":10000000}]}";

// The service, node and stream that an attempt was sent to.
struct Attempt {
	FakeService *to = nullptr;
	uint64_t node = 0;
	uint64_t stream = 0;
};

class Entry : public RequestTest
{
      protected:
	entry_t *entry = nullptr;
	std::unique_ptr<FakeService> gate, peer, membership, config;

	void
	SetUp() override
	{
		RequestTest::SetUp();
		settings.requests_max = 16;
		create();
	}
	void
	TearDown() override
	{
		destroy();
		RequestTest::TearDown();
	}
	void
	create()
	{
		ASSERT_EQ(entry_create(kernel, &settings, &entry), 0);
		gate = std::make_unique<FakeService>(kernel, "gate");
		peer = std::make_unique<FakeService>(kernel, "peer");
		membership = std::make_unique<FakeService>(kernel, "membership");
		config = std::make_unique<FakeService>(kernel, "config");
	}
	void
	destroy()
	{
		entry_destroy(entry);
		entry = nullptr;
		gate.reset();
		peer.reset();
		membership.reset();
		config.reset();
	}
	void
	configure(const std::string &text = PRESET, uint64_t version = 5)
	{
		message_t *message = message_create(MESSAGE_SNAPSHOT, 0, 0);
		char error[MASTICPITCH_MESSAGE_MAX];
		preset_t *preset = nullptr;

		ASSERT_EQ(
		    preset_parse(text.data(), text.size(), &preset, error, sizeof(error)),
		    0)
		    << error;
		message->u.snapshot = snapshot_create(version, "normal", preset);
		config->post("entry", message);
	}
	void
	add_local()
	{
		message_t *message = message_create(MESSAGE_INSTANCE, 0, 0);

		message->u.instance.state = INSTANCE_READY;
		strcpy(message->u.instance.service, "katalogo");
		message->u.instance.slots = 4;
		message->u.instance.connections = 4;
		message->u.instance.sequence = 1;
		gate->post("entry", message);
	}
	void
	add_remote(uint64_t node = REMOTE)
	{
		message_t *message = message_create(MESSAGE_MEMBER, node, 0);
		member_t *member = &message->u.member;

		member->node = node;
		member->address = {own_ip(), 9000};
		strcpy(member->zone, "cebu-a");
		strcpy(member->region, "visayas");
		member->incarnation = 1;
		member->state = MEMBER_ALIVE;
		member->reachable = true;
		member->instance.state = INSTANCE_READY;
		strcpy(member->instance.service, "katalogo");
		member->instance.slots = 4;
		member->instance.connections = 4;
		member->instance.sequence = 1;
		membership->post("entry", message);
	}
	void
	ready()
	{
		configure();
		add_local();
		run_until_idle();
	}
	std::unique_ptr<RawConnection>
	connect_caller(int receive_buffer = 0)
	{
		struct sockaddr_in target;
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

		if (receive_buffer > 0)
			setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
			    sizeof(receive_buffer));
		address_to_sockaddr(&settings.callers, &target);
		connect(fd, reinterpret_cast<struct sockaddr *>(&target), sizeof(target));
		return std::make_unique<RawConnection>(fd);
	}
	std::unique_ptr<RawConnection>
	send_request(const std::string &text)
	{
		std::unique_ptr<RawConnection> caller = connect_caller();

		EXPECT_EQ(caller->write(text), text.size());
		return caller;
	}
	static std::string
	get(const std::string &path, const std::string &fields = "")
	{
		return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
	}
	static std::string
	post(const std::string &path, const std::string &body)
	{
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
		       std::to_string(body.size()) + "\r\n\r\n" + body;
	}
	// The complete answer to a request that is refused, or "" after 10 s.
	std::string
	answer_to(const std::string &request)
	{
		std::unique_ptr<RawConnection> caller = send_request(request);

		EXPECT_TRUE(run_until([&] {
			return caller->has("\r\n\r\n") &&
			       (caller->has("}") || caller->closed);
		}));
		return caller->input;
	}
	void
	expect_refused(const std::string &answer, int status, const std::string &reason,
	    const std::string &run)
	{
		EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 " + std::to_string(status));
		EXPECT_NE(answer.find("Masticpitch-Reason: " + reason + "\r\n"),
		    std::string::npos)
		    << answer;
		EXPECT_NE(
		    answer.find("Masticpitch-Run: " + run + "\r\n"), std::string::npos)
		    << answer;
	}
	// Waits for attempt number of the request for a path.
	Attempt
	attempt(const std::string &path, uint32_t number = 1)
	{
		Attempt found;

		EXPECT_TRUE(run_until([&] {
			for (FakeService *fake : {gate.get(), peer.get()}) {
				for (const ReceivedMessage &message : fake->messages) {
					if (message.type != MESSAGE_CALL_OPEN ||
					    message.path != path ||
					    message.attempt != number)
						continue;
					found = {fake, message.node, message.stream};
				}
			}
			return found.to != nullptr;
		}));
		return found;
	}
	static void
	answer(const Attempt &to, const std::string &body, int64_t length,
	    bool end = true, int status = 200)
	{
		to.to->post_answer("entry", to.node, to.stream, status, length);
		to.to->post_data(
		    "entry", MESSAGE_ANSWER_DATA, to.node, to.stream, body, end);
	}
	static void
	refuse(const Attempt &to, reason_t reason, run_state_t run,
	    message_type_t type = MESSAGE_REFUSAL)
	{
		to.to->post_refusal("entry", type, to.node, to.stream, reason, run);
	}
	bool
	is_idle()
	{
		service_t *service = kernel_service_find(kernel, "entry");

		return service->is_idle(service->state);
	}
	std::string
	report(query_kind_t kind, const char *path = "")
	{
		message_t *message = message_create(MESSAGE_QUERY, 0, 42);

		message->u.query.kind = kind;
		strcpy(message->u.query.method, "GET");
		strcpy(message->u.query.path, path);
		config->messages.clear();
		config->post("entry", message);
		EXPECT_TRUE(run_until(
		    [&] { return config->find(MESSAGE_REPORT, 42) != nullptr; }));
		return config->find(MESSAGE_REPORT, 42)->data;
	}
};

} // namespace

#endif
