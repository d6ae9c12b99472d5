#include "readiness.h"

#include "http_server.h"

#include <stdlib.h>
#include <string.h>

/* Bytes; a readiness request needs no body. */
#define BODY_MAX 256
#define CONNECTIONS_MAX 32

struct readiness {
	kernel_t *kernel;
	service_t service;
	http_server_t *server;
	const char *path;
	bool configured;
	bool leaving;
};

static void
reply(http_exchange_t *exchange, int status, const char *text)
{
	http_exchange_reply(exchange, status, NULL, text, strlen(text));
}

static void
request_handle(void *state, const http_server_request_t *request)
{
	const readiness_t *readiness = state;

	if (strcmp(request->path, readiness->path) != 0)
		reply(request->exchange, 404, "{\"error\":\"no such path\"}");
	else if (strcmp(request->method, "GET") != 0)
		reply(request->exchange, 405, "{\"error\":\"only GET is allowed\"}");
	else if (readiness->leaving)
		reply(request->exchange, 503, "{\"ready\":false,\"why\":\"leaving\"}");
	else if (!readiness->configured)
		reply(request->exchange, 503,
		    "{\"ready\":false,\"why\":\"no-configuration\"}");
	else
		reply(request->exchange, 200, "{\"ready\":true}");
}

static void
readiness_receive(void *state, message_t *message)
{
	readiness_t *readiness = state;

	if (message->type == MESSAGE_SNAPSHOT)
		readiness->configured = true;
	else if (message->type == MESSAGE_LEAVE)
		readiness->leaving = true;
}

int
readiness_create(kernel_t *kernel, const settings_t *settings, readiness_t **result)
{
	http_server_options_t options = {
	    .address = settings->readiness,
	    .body_max_bytes = BODY_MAX,
	    .connections_max = CONNECTIONS_MAX,
	    .handler = request_handle,
	};
	readiness_t *readiness;
	int error;

	*result = NULL;
	if (settings->readiness.port == 0)
		return MASTICPITCH_OK;
	readiness = calloc(1, sizeof(*readiness));
	if (readiness == NULL)
		return MASTICPITCH_E_NOMEM;
	readiness->kernel = kernel;
	readiness->path = dialect_readiness_path(settings->dialect);
	list_init(&readiness->service.link);
	readiness->service.name = "readiness";
	readiness->service.state = readiness;
	readiness->service.receive = readiness_receive;
	options.state = readiness;
	error = http_server_create(kernel_loop(kernel), &options, &readiness->server);
	if (error == MASTICPITCH_OK)
		error = kernel_service_register(kernel, &readiness->service);
	if (error != MASTICPITCH_OK) {
		readiness_destroy(readiness);
		return error;
	}
	*result = readiness;
	return MASTICPITCH_OK;
}

void
readiness_destroy(readiness_t *readiness)
{
	if (readiness == NULL)
		return;
	kernel_service_unregister(readiness->kernel, &readiness->service);
	http_server_destroy(readiness->server);
	free(readiness);
}
