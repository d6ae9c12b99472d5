// Fixture of the gate's tests: the gate service between fake entry, peer and membership
// services and a raw backend server.
#ifndef MASTICPITCH_COMMON_GATE_H
#define MASTICPITCH_COMMON_GATE_H

#include "common_request.h"
#include "gate.h"

namespace
{

class Gate : public RequestTest
{
      protected:
	gate_t *gate = nullptr;
	http_client_t *client = nullptr;
	std::unique_ptr<FakeService> entry, peer, membership;
	std::unique_ptr<RawServer> server;
	address_t server_address = {};

	void
	SetUp() override
	{
		RequestTest::SetUp();
		settings.dialect = dialect();
		server_address = {own_ip(), 8090};
		ASSERT_EQ(gate_create(kernel, &settings, &gate), 0);
		ASSERT_EQ(http_client_create(kernel_loop(kernel), 4, &client), 0);
		entry = std::make_unique<FakeService>(kernel, "entry");
		peer = std::make_unique<FakeService>(kernel, "peer");
		membership = std::make_unique<FakeService>(kernel, "membership");
		server = std::make_unique<RawServer>(server_address);
		configure();
	}
	// Gives the gate a configuration with the service of its backend server.
	virtual void
	configure()
	{
		const char text[] = "{\"format\":1,\"services\":{\"katalogo\":{}},"
				    "\"routes\":[]}";
		message_t *message = message_create(MESSAGE_SNAPSHOT, 0, 0);
		char error[MASTICPITCH_MESSAGE_MAX];
		preset_t *preset = nullptr;

		ASSERT_EQ(
		    preset_parse(text, sizeof(text) - 1, &preset, error, sizeof(error)),
		    0)
		    << error;
		message->u.snapshot = snapshot_create(5, "normal", preset);
		entry->post("gate", message);
		run_until_idle();
	}
	virtual dialect_t
	dialect() const
	{
		return DIALECT_NATIVE;
	}
	void
	TearDown() override
	{
		http_client_destroy(client);
		gate_destroy(gate);
		entry.reset();
		peer.reset();
		membership.reset();
		server.reset();
		RequestTest::TearDown();
	}
	// Announces a backend server; returns the HTTP status.
	int
	announce(const std::string &state, int slots = 2, const std::string &boot = "b1",
	    const std::string &instance = "katalogo-1")
	{
		char address[ADDRESS_TEXT_BYTES];

		address_format(&server_address, address);
		return announce_text("{\"service\":\"katalogo\",\"instance\":\"" +
				     instance + "\",\"address\":\"" + address +
				     "\",\"slots\":" + std::to_string(slots) +
				     ",\"connections\":" + std::to_string(slots) +
				     ",\"state\":\"" + state + "\",\"boot\":\"" + boot +
				     "\",\"load\":0.5}");
	}
	int
	announce_text(const std::string &text, const std::string &path = "/announce")
	{
		char address[ADDRESS_TEXT_BYTES];
		http_request_t request = {};
		std::string url;
		int status = 0;

		address_format(&settings.backend_servers, address);
		url = std::string("http://") + address + path;
		request.method = "POST";
		request.url = url.c_str();
		request.body = text.c_str();
		request.body_size = text.size();
		request.deadline = os_clock_monotonic() + 5 * NS_PER_S;
		request.answer_max_bytes = 4096;
		EXPECT_EQ(http_client_call(
			      client, &request,
			      [](void *state, const http_answer_t *answer) {
				      *static_cast<int *>(state) =
					  answer->error == 0 ? answer->status : -1;
			      },
			      &status, nullptr),
		    0);
		EXPECT_TRUE(run_until([&] { return status != 0; }));
		return status;
	}
	// Waits for a refusal, or an abort, of a stream.
	void
	expect_refusal(FakeService &from, message_type_t type, uint64_t stream,
	    reason_t reason, run_state_t run)
	{
		ASSERT_TRUE(
		    run_until([&] { return from.find(type, stream) != nullptr; }));
		EXPECT_STREQ(reason_text(from.find(type, stream)->refusal.reason),
		    reason_text(reason));
		EXPECT_STREQ(run_state_text(from.find(type, stream)->refusal.run),
		    run_state_text(run));
	}
	bool
	has_ended(uint64_t stream)
	{
		return entry->ended(MESSAGE_ANSWER_DATA, stream);
	}
	bool
	is_idle()
	{
		service_t *service = kernel_service_find(kernel, "gate");

		return service->is_idle(service->state);
	}
};

} // namespace

#endif
