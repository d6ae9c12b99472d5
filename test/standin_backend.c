/*
 * Stand-in for a backend server. It announces itself to the node of its host,
 * runs requests in slots and writes one line to standard output when a run
 * begins and one when it ends, so that tests see the runs even after a crash:
 *   run ID once|many METHOD URI MS (wall clock)
 *   end ID done|gone|late MS
 * Options: --listen IP:PORT --address IP:PORT (announced, in place of the one it
 * listens at) --announce IP:PORT (or none) --entry IP:PORT
 * --service NAME --instance NAME --slots N --connections N --work-ms N
 * --cold-ms N --lag-ms N --load-lie X --rate-limit X --seed N.
 * --cold-ms delays the state "ready", --lag-ms makes the announced load that old,
 * --load-lie announces a fixed load instead, --rate-limit is named in answers.
 * Arguments of a request's URI: id, once=1, size (bytes of filler), work_ms,
 * inner (path of a nested call through the host's node), levels (depth of nested
 * calls). A path that contains "/crash" ends the process with abort().
 */
#include "common_standin.h"

#include <curl/curl.h>
#include <json-c/json.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ANNOUNCE_INTERVAL_MS 1000
#define ANNOUNCE_TIMEOUT_MS 800L
/* Idle time before exit while the node has not acknowledged "leaving". */
#define LEAVE_UNACKNOWLEDGED_IDLE_MS 3000
/*
 * Idle time before exit after the acknowledgement: the gate sends no new requests
 * then, but some may still be in transit.
 */
#define LEAVE_ACKNOWLEDGED_IDLE_MS 200
#define LOAD_SAMPLES_MAX 256
#define LOAD_SAMPLE_INTERVAL_MS 100
#define RUNS_BYTES_MAX (16 * 1024 * 1024)
#define FORWARDED_HEADERS 4

typedef struct backend {
	const char *service;
	const char *instance;
	const char *address;
	const char *announce; /* NULL: no announcements */
	const char *entry;    /* NULL: no nested calls */
	unsigned slots;
	unsigned connections;
	double work_ms;
	double lag_ms;
	double load_override;	/* announced instead of the load; below 0: none */
	const char *rate_limit; /* named in answers, calls/s; NULL: none */
	char boot[40];
	uint64_t ready_at;
	atomic_uint running;
	atomic_uint shed;
	atomic_bool leaving;
	pthread_mutex_t lock;
	buffer_t runs;
	double load_samples[LOAD_SAMPLES_MAX];
	size_t load_sample_count;
} backend_t;

typedef struct request {
	char uri[STANDIN_URI_MAX_BYTES];
	char id[80];
	bool started;
	bool running;
	bool ended;
	uint64_t body_size;
	crypto_generichash_state hash;
} request_t;

static const char *const forwarded[FORWARDED_HEADERS] = {"Masticpitch-Depth",
    "Masticpitch-Deadline-Ms", "traceparent", "Masticpitch-Request-Id"};

/* Uses one write() per line, so that a crash can't leave a partial line. */
static void
run_log(backend_t *backend, const char *event, const char *id, const char *details)
{
	char line[STANDIN_URI_MAX_BYTES + 160];
	int size = snprintf(line, sizeof(line), "%s %s %s %llu\n", event,
	    id[0] != '\0' ? id : "-", details, (unsigned long long)os_clock_wall_ms());

	if (size <= 0 || (size_t)size >= sizeof(line))
		return;
	pthread_mutex_lock(&backend->lock);
	(void)buffer_append(&backend->runs, line, (size_t)size);
	if (write(STDOUT_FILENO, line, (size_t)size) != size)
		abort();
	pthread_mutex_unlock(&backend->lock);
}

static double
load_now(backend_t *backend)
{
	return MIN_OF(1.0, (double)backend->running / backend->slots);
}

/* The announced load: the sample of lag_ms ago, or the override. */
static double
load_reported(backend_t *backend)
{
	size_t lag_samples = (size_t)(backend->lag_ms / LOAD_SAMPLE_INTERVAL_MS);
	double load;

	if (backend->load_override >= 0)
		return backend->load_override;
	pthread_mutex_lock(&backend->lock);
	load =
	    backend->load_sample_count > lag_samples
		? backend->load_samples[(backend->load_sample_count - 1 - lag_samples) %
					LOAD_SAMPLES_MAX]
		: 0;
	pthread_mutex_unlock(&backend->lock);
	return load;
}

static size_t
discard(char *data, size_t size, size_t count, void *state)
{
	return size * count;
}

/* Sends one announcement. Errors: MASTICPITCH_E_UNREACHABLE, MASTICPITCH_E_DENIED. */
static int
announce(backend_t *backend, CURL *curl)
{
	const char *state = backend->leaving			       ? "leaving"
			    : os_clock_monotonic() < backend->ready_at ? "starting"
								       : "ready";
	struct curl_slist *headers =
	    curl_slist_append(NULL, "Content-Type: application/json");
	char url[64], body[512];
	long status = 0;
	CURLcode code;

	snprintf(url, sizeof(url), "http://%s/announce", backend->announce);
	snprintf(body, sizeof(body),
	    "{\"service\":\"%s\",\"instance\":\"%s\",\"address\":\"%s\",\"slots\":%u,"
	    "\"connections\":%u,\"state\":\"%s\",\"boot\":\"%s\",\"load\":%.3f}",
	    backend->service, backend->instance, backend->address, backend->slots,
	    backend->connections, state, backend->boot, load_reported(backend));
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, ANNOUNCE_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(headers);
	if (code != CURLE_OK)
		return MASTICPITCH_E_UNREACHABLE;
	if (status != 200) {
		fprintf(stderr, "announcement refused by the node: HTTP status %ld\n",
		    status);
		return MASTICPITCH_E_DENIED;
	}
	return MASTICPITCH_OK;
}

static void
sample_load(backend_t *backend)
{
	pthread_mutex_lock(&backend->lock);
	backend->load_samples[backend->load_sample_count++ % LOAD_SAMPLES_MAX] =
	    load_now(backend);
	pthread_mutex_unlock(&backend->lock);
}

/*
 * Samples the load, announces each second and at each change of state, and exits
 * the process once it is leaving and idle.
 */
static void *
announce_thread(void *state)
{
	backend_t *backend = state;
	CURL *curl = curl_easy_init();
	uint64_t next_announce_at = 0, idle_since = 0;
	bool announced_ready = false, leaving_acknowledged = false;

	for (;;) {
		struct timespec pause = {0, 50 * 1000000L};
		uint64_t now = os_clock_monotonic();
		bool is_ready = now >= backend->ready_at;

		sample_load(backend);
		if (backend->announce != NULL &&
		    (now >= next_announce_at || is_ready != announced_ready ||
			backend->leaving != leaving_acknowledged)) {
			bool leaving = backend->leaving;
			int error = announce(backend, curl);

			next_announce_at = now + ANNOUNCE_INTERVAL_MS * NS_PER_MS;
			announced_ready = is_ready;
			leaving_acknowledged = leaving && error == MASTICPITCH_OK;
		}
		if (backend->running > 0)
			idle_since = 0;
		else if (idle_since == 0)
			idle_since = now;
		if (backend->leaving && idle_since != 0 &&
		    now - idle_since > (leaving_acknowledged || backend->announce == NULL
					       ? LEAVE_ACKNOWLEDGED_IDLE_MS
					       : LEAVE_UNACKNOWLEDGED_IDLE_MS) *
					   NS_PER_MS)
			_exit(0);
		nanosleep(&pause, NULL);
	}
	return NULL;
}

static size_t
collect(char *data, size_t size, size_t count, void *state)
{
	return buffer_append(state, data, size * count) == MASTICPITCH_OK ? size * count
									  : 0;
}

/* Makes a nested call through the host's node; true if the answer was correct. */
static bool
call_nested(backend_t *backend, struct MHD_Connection *connection,
    const request_t *request, const char *inner)
{
	int levels = (int)standin_query_number(request->uri, "levels", 1);
	char uri[STANDIN_URI_MAX_BYTES], url[STANDIN_URI_MAX_BYTES + 64], line[256];
	struct curl_slist *headers = NULL;
	CURL *curl = curl_easy_init();
	buffer_t answer, expected;
	digest_t digest;
	long status = 0;
	bool correct;

	if (levels > 1)
		snprintf(uri, sizeof(uri), "%s?id=%s.n&inner=%s&levels=%d", inner,
		    request->id, inner, levels - 1);
	else
		snprintf(uri, sizeof(uri), "%s?id=%s.n", inner, request->id);
	snprintf(url, sizeof(url), "http://%s%s", backend->entry, uri);
	for (size_t i = 0; i < FORWARDED_HEADERS; i++) {
		const char *value = MHD_lookup_connection_value(
		    connection, MHD_HEADER_KIND, forwarded[i]);

		if (value == NULL)
			continue;
		snprintf(line, sizeof(line), "%s: %s", forwarded[i], value);
		headers = curl_slist_append(headers, line);
	}
	buffer_init(&answer, STANDIN_ANSWER_MAX_BYTES);
	buffer_init(&expected, STANDIN_ANSWER_MAX_BYTES);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 30000L);
	correct = curl_easy_perform(curl) == CURLE_OK;
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	digest_compute("", 0, &digest);
	correct = correct && status == 200 &&
		  standin_answer("GET", uri, 0, &digest, &expected) == MASTICPITCH_OK &&
		  expected.size == answer.size &&
		  memcmp(expected.data, answer.data, answer.size) == 0;
	buffer_free(&answer);
	buffer_free(&expected);
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	return correct;
}

/* Sleeps for the work time; returns the outcome for the run's end line. */
static const char *
run_work(backend_t *backend, struct MHD_Connection *connection, const request_t *request)
{
	const char *deadline = MHD_lookup_connection_value(
	    connection, MHD_HEADER_KIND, "Masticpitch-Deadline-Ms");
	double ms = standin_query_number(request->uri, "work_ms", backend->work_ms);
	double deadline_ms = deadline != NULL ? strtod(deadline, NULL) : 1e9;

	if (!standin_sleep(connection, (uint64_t)(MIN_OF(ms, deadline_ms) * 1e6)))
		return "gone";
	return ms > deadline_ms ? "late" : "done";
}

static enum MHD_Result
shed(backend_t *backend, struct MHD_Connection *connection)
{
	backend->shed++;
	return standin_reply(connection, MHD_HTTP_SERVICE_UNAVAILABLE, "shed\n", 5,
	    "Masticpitch-Run", "no");
}

static enum MHD_Result
reply_text(struct MHD_Connection *connection, unsigned status, const char *text)
{
	return standin_reply(connection, status, text, strlen(text), NULL, NULL);
}

static void
run_end(backend_t *backend, request_t *request, const char *outcome)
{
	if (!request->running || request->ended)
		return;
	request->ended = true;
	run_log(backend, "end", request->id, outcome);
	backend->running--;
}

/* Takes a slot and logs the run; false: no slot is free or the server is not ready. */
static bool
run_begin(backend_t *backend, request_t *request, const char *method)
{
	char once[8], details[STANDIN_URI_MAX_BYTES + 32];

	if (os_clock_monotonic() < backend->ready_at)
		return false;
	if (atomic_fetch_add(&backend->running, 1) >= backend->slots) {
		backend->running--;
		return false;
	}
	request->running = true;
	standin_query(request->uri, "id", request->id, sizeof(request->id));
	standin_query(request->uri, "once", once, sizeof(once));
	snprintf(details, sizeof(details), "%s %s %s",
	    strcmp(once, "1") == 0 ? "once" : "many", method, request->uri);
	run_log(backend, "run", request->id, details);
	if (strstr(request->uri, "/crash") != NULL)
		abort();
	return true;
}

static enum MHD_Result
answer(backend_t *backend, struct MHD_Connection *connection, const char *method,
    request_t *request)
{
	char inner[256];
	digest_t digest;
	buffer_t body;
	const char *outcome;
	enum MHD_Result result;

	crypto_generichash_final(&request->hash, digest.bytes, DIGEST_BYTES);
	outcome = run_work(backend, connection, request);
	standin_query(request->uri, "inner", inner, sizeof(inner));
	if (strcmp(outcome, "done") == 0 && inner[0] != '\0' &&
	    (backend->entry == NULL ||
		!call_nested(backend, connection, request, inner))) {
		run_end(backend, request, "done");
		return reply_text(
		    connection, MHD_HTTP_BAD_GATEWAY, "inner call failed\n");
	}
	run_end(backend, request, outcome);
	if (strcmp(outcome, "gone") == 0)
		return MHD_NO;
	if (strcmp(outcome, "late") == 0)
		return reply_text(connection, MHD_HTTP_GATEWAY_TIMEOUT, "late\n");
	buffer_init(&body, STANDIN_ANSWER_MAX_BYTES);
	if (standin_answer(method, request->uri, request->body_size, &digest, &body) ==
	    MASTICPITCH_OK)
		result = standin_reply(connection, MHD_HTTP_OK, (const char *)body.data,
		    body.size,
		    backend->rate_limit != NULL ? "Masticpitch-Rate-Limit" : NULL,
		    backend->rate_limit);
	else
		result = MHD_NO;
	buffer_free(&body);
	return result;
}

static enum MHD_Result
handle_standin(backend_t *backend, struct MHD_Connection *connection, const char *path)
{
	enum MHD_Result result;
	char text[160];

	if (strcmp(path, "/standin/runs") == 0) {
		pthread_mutex_lock(&backend->lock);
		result = standin_reply(connection, MHD_HTTP_OK,
		    (const char *)backend->runs.data, backend->runs.size, NULL, NULL);
		pthread_mutex_unlock(&backend->lock);
		return result;
	}
	snprintf(text, sizeof(text), "{\"load\":%.3f,\"running\":%u,\"shed\":%u}",
	    load_reported(backend), backend->running, backend->shed);
	return reply_text(connection, MHD_HTTP_OK, text);
}

static void *
request_open(void *state, const char *uri, struct MHD_Connection *connection)
{
	request_t *request = calloc(1, sizeof(*request));

	if (request != NULL) {
		(void)string_copy(request->uri, sizeof(request->uri), uri);
		crypto_generichash_init(&request->hash, NULL, 0, DIGEST_BYTES);
	}
	return request;
}

static void
request_close(void *state, struct MHD_Connection *connection, void **context,
    enum MHD_RequestTerminationCode code)
{
	request_t *request = *context;

	if (request != NULL) {
		run_end(state, request, "gone");
		free(request);
	}
	*context = NULL;
}

static enum MHD_Result
handle(void *state, struct MHD_Connection *connection, const char *path,
    const char *method, const char *version, const char *data, size_t *size,
    void **context)
{
	backend_t *backend = state;
	request_t *request = *context;

	if (request == NULL || request->uri[0] == '\0')
		return MHD_NO;
	if (strncmp(path, "/standin/", 9) == 0)
		return handle_standin(backend, connection, path);
	if (!request->started) {
		request->started = true;
		if (!run_begin(backend, request, method))
			return shed(backend, connection);
		return MHD_YES;
	}
	if (*size > 0) {
		crypto_generichash_update(
		    &request->hash, (const unsigned char *)data, *size);
		request->body_size += *size;
		*size = 0;
		return MHD_YES;
	}
	return answer(backend, connection, method, request);
}

int
main(int argc, char **argv)
{
	backend_t own = {0};
	backend_t *backend = &own;
	const char *listen_address;
	pthread_t thread;
	sigset_t signals;
	int signal_number;

	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_ALL) != 0)
		return 1;
	listen_address = standin_option(argc, argv, "listen", "127.0.0.1:0");
	backend->address = standin_option(argc, argv, "address", listen_address);
	backend->announce = standin_option(argc, argv, "announce", NULL);
	backend->entry = standin_option(argc, argv, "entry", NULL);
	backend->service = standin_option(argc, argv, "service", "katalogo");
	backend->instance = standin_option(argc, argv, "instance", backend->address);
	backend->slots = (unsigned)standin_option_number(argc, argv, "slots", 10);
	backend->connections =
	    (unsigned)standin_option_number(argc, argv, "connections", 110);
	backend->work_ms = standin_option_number(argc, argv, "work-ms", 1);
	backend->lag_ms = standin_option_number(argc, argv, "lag-ms", 2000);
	backend->load_override = standin_option_number(argc, argv, "load-lie", -1);
	backend->rate_limit = standin_option(argc, argv, "rate-limit", NULL);
	backend->ready_at =
	    os_clock_monotonic() +
	    (uint64_t)(standin_option_number(argc, argv, "cold-ms", 0) * 1e6);
	snprintf(backend->boot, sizeof(backend->boot), "%d-%llu", (int)getpid(),
	    (unsigned long long)os_clock_wall_ms());
	buffer_init(&backend->runs, RUNS_BYTES_MAX);
	pthread_mutex_init(&backend->lock, NULL);
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
	(void)standin_listen(
	    listen_address, handle, request_close, request_open, backend);
	pthread_create(&thread, NULL, announce_thread, backend);
	sigwait(&signals, &signal_number);
	backend->leaving = true;
	/* The announcing thread exits the process once it is idle. */
	pthread_join(thread, NULL);
	return 0;
}
