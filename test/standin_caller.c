/*
 * Stand-in for callers: an open-loop load generator that checks each answer byte
 * for byte. Options: --targets IP:PORT,... --service NAME --rate N (requests a
 * second) --seconds N --mix lookup=N,call=N,upload=N,internal=N,crash=N (shares)
 * --answer-bytes N --upload-bytes N --upload-pace N (bytes a second, 0: none)
 * --work-ms N --deadline-ms N --inner PATH --levels N --tickets 0|1
 * --failover N (further targets to try after one that can't be connected, or that
 * refuses the request because it is leaving or has no configuration yet)
 * --outcomes FILE --prefix TEXT (of request ids) --key TEXT (of a workspace) --seed N.
 * The report is printed to standard output as one JSON object. Each line of the
 * outcomes file (US: latency):
 *   ID once|many CLASS answered|refused|unknown|failed|wrong|cut REASON US
 */
#include "common_report.h"
#include "common_standin.h"

#include <curl/curl.h>
#include <ev.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TARGETS_MAX 256
#define IN_FLIGHT_MAX 8192
#define REQUESTS_MAX 2000000
#define TICK_INTERVAL_S 0.001
/* A request without an end by then counts as unknown, or as cut after its head. */
#define REQUEST_TIMEOUT_MS 60000L
#define UPLOAD_TIMEOUT_MS 280000L

typedef struct caller {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer curl_timer;
	ev_timer tick;
	const char *targets[TARGETS_MAX];
	size_t target_count;
	char *target_text; /* owned; the targets point into it */
	const char *service;
	const char *prefix;
	const char *inner;
	const char *key; /* of a workspace; NULL: none */
	double mix[LOAD_CLASSES];
	double rate;
	double seconds;
	double work_ms;
	int deadline_ms;
	int levels;
	int failover;
	bool tickets;
	uint64_t answer_bytes;
	uint64_t upload_bytes;
	curl_off_t upload_bytes_per_s;
	rng_t rng;
	uint64_t started_at;
	uint64_t in_flight;
	report_t report;
	FILE *outcomes;
	bool stopped;
} caller_t;

typedef struct call {
	caller_t *caller;
	CURL *curl;
	struct curl_slist *headers;
	load_class_t load_class;
	char id[80];
	char uri[STANDIN_URI_MAX_BYTES];
	uint64_t body_size;
	uint64_t body_sent;
	uint64_t due_at;
	unsigned sends; /* times libcurl was about to send the request */
	int failovers_left;
	uint64_t target;     /* index, taken modulo the number of targets */
	bool fetches_ticket; /* the current exchange fetches the ticket */
	buffer_t answer;
	char ticket[300];
	char run[16];
	char reason[64];
} call_t;

static void call_start(call_t *call);

static void
call_free(call_t *call)
{
	curl_easy_cleanup(call->curl);
	curl_slist_free_all(call->headers);
	buffer_free(&call->answer);
	free(call);
}

static void
call_finish(call_t *call, outcome_t outcome, const char *reason)
{
	caller_t *caller = call->caller;
	uint64_t latency = os_clock_monotonic() - call->due_at;

	report_add(&caller->report, call->load_class, outcome, reason, latency);
	if (caller->outcomes != NULL)
		fprintf(caller->outcomes, "%s %s %s %s %s %llu\n", call->id,
		    load_class_is_non_idempotent(call->load_class) ? "once" : "many",
		    report_class_text(call->load_class), report_outcome_text(outcome),
		    reason, (unsigned long long)(latency / NS_PER_US));
	caller->in_flight--;
	call_free(call);
}

static size_t
on_header(char *data, size_t size, size_t count, void *state)
{
	call_t *call = state;
	char line[512], *value;
	size_t length = MIN_OF(size * count, sizeof(line) - 1);

	memcpy(line, data, length);
	line[length] = '\0';
	line[strcspn(line, "\r\n")] = '\0';
	value = strchr(line, ':');
	if (value == NULL)
		return size * count;
	*value++ = '\0';
	value += strspn(value, " ");
	if (strcasecmp(line, "Masticpitch-Run") == 0)
		snprintf(call->run, sizeof(call->run), "%.15s", value);
	if (strcasecmp(line, "Masticpitch-Reason") == 0)
		snprintf(call->reason, sizeof(call->reason), "%.63s", value);
	return size * count;
}

static size_t
on_data(char *data, size_t size, size_t count, void *state)
{
	call_t *call = state;

	return buffer_append(&call->answer, data, size * count) == MASTICPITCH_OK
		   ? size * count
		   : 0;
}

static size_t
on_read(char *data, size_t size, size_t count, void *state)
{
	call_t *call = state;
	size_t piece = MIN_OF(size * count, call->body_size - call->body_sent);

	standin_pattern(standin_seed(call->id), call->body_sent, (uint8_t *)data, piece);
	call->body_sent += piece;
	return piece;
}

/*
 * Stops libcurl from resending a request when a reused connection closes: the
 * request could run twice.
 */
static int
on_prerequest(void *state, char *remote, char *local, int remote_port, int local_port)
{
	call_t *call = state;

	return ++call->sends > 1 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static void
body_digest(const call_t *call, digest_t *digest)
{
	uint8_t *body = malloc(call->body_size + 1);

	if (body == NULL)
		abort();
	standin_pattern(standin_seed(call->id), 0, body, call->body_size);
	digest_compute(body, call->body_size, digest);
	free(body);
}

static bool
answer_is_correct(const call_t *call)
{
	digest_t digest;
	buffer_t expected;
	bool correct;

	body_digest(call, &digest);
	buffer_init(&expected, STANDIN_ANSWER_MAX_BYTES);
	correct = standin_answer(call->body_size > 0 ||
					 load_class_is_non_idempotent(call->load_class)
				     ? "POST"
				     : "GET",
		      call->uri, call->body_size, &digest, &expected) == MASTICPITCH_OK &&
		  expected.size == call->answer.size &&
		  memcmp(expected.data, call->answer.data, expected.size) == 0;
	buffer_free(&expected);
	return correct;
}

/* True if the target certainly didn't run the request and another one may accept it. */
static bool
can_fail_over(const call_t *call, CURLcode code)
{
	if (code != CURLE_OK)
		return call->sends == 0;
	return strcmp(call->run, "no") == 0 &&
	       (strcmp(call->reason, "shutdown") == 0 ||
		   strcmp(call->reason, "no-configuration") == 0);
}

static void
call_done(call_t *call, CURLcode code)
{
	long status = 0;

	curl_easy_getinfo(call->curl, CURLINFO_RESPONSE_CODE, &status);
	curl_multi_remove_handle(call->caller->multi, call->curl);
	if (call->failovers_left > 0 && can_fail_over(call, code)) {
		call->failovers_left--;
		call->target++;
		call->caller->report.failovers++;
		call_start(call);
	} else if (call->fetches_ticket && code == CURLE_OK && status == 200) {
		snprintf(call->ticket, sizeof(call->ticket), "%.*s",
		    (int)MIN_OF(call->answer.size, sizeof(call->ticket) - 1),
		    call->answer.size > 0 ? (const char *)call->answer.data : "");
		call->ticket[strcspn(call->ticket, "\r\n")] = '\0';
		call->fetches_ticket = false;
		call_start(call);
	} else if (call->fetches_ticket) {
		call_finish(call, OUTCOME_REFUSED, "no-ticket");
	} else if (code != CURLE_OK && call->sends == 0) {
		call_finish(call, OUTCOME_REFUSED, "connect");
	} else if (code != CURLE_OK) {
		call_finish(call, status != 0 ? OUTCOME_CUT : OUTCOME_UNKNOWN,
		    code == CURLE_OPERATION_TIMEDOUT ? "timeout" : "broken");
	} else if (strcmp(call->run, "no") == 0) {
		call_finish(call, OUTCOME_REFUSED, call->reason);
	} else if (strcmp(call->run, "unknown") == 0) {
		call_finish(call, OUTCOME_UNKNOWN, call->reason);
	} else if (status != 200) {
		char text[32];

		snprintf(text, sizeof(text), "status-%ld", status);
		call_finish(call, OUTCOME_FAILED, text);
	} else if (!answer_is_correct(call)) {
		call_finish(call, OUTCOME_WRONG, "content");
	} else {
		call_finish(call, OUTCOME_ANSWERED, "none");
	}
}

/* Starts the exchange with the current target, or starts it again. */
static void
call_start(call_t *call)
{
	caller_t *caller = call->caller;
	const char *target = caller->targets[call->target % caller->target_count];
	bool is_post =
	    load_class_is_non_idempotent(call->load_class) && !call->fetches_ticket;
	char url[STANDIN_URI_MAX_BYTES + 128], line[340];
	CURL *curl = call->curl;

	curl_easy_reset(curl);
	curl_slist_free_all(call->headers);
	call->headers = curl_slist_append(NULL, "Expect:");
	buffer_consume(&call->answer, call->answer.size);
	call->sends = 0;
	call->body_sent = 0;
	call->run[0] = '\0';
	string_copy(call->reason, sizeof(call->reason), "none");
	if (call->fetches_ticket)
		snprintf(url, sizeof(url),
		    "http://%s/.masticpitch/ticket?method=POST&path=/%s/%s/", target,
		    caller->service, report_class_text(call->load_class));
	else
		snprintf(url, sizeof(url), "http://%s%s", target, call->uri);
	if (caller->deadline_ms > 0) {
		snprintf(line, sizeof(line), "Masticpitch-Deadline-Ms: %d",
		    caller->deadline_ms);
		call->headers = curl_slist_append(call->headers, line);
	}
	if (caller->key != NULL) {
		snprintf(line, sizeof(line), "Masticpitch-Key: %s", caller->key);
		call->headers = curl_slist_append(call->headers, line);
	}
	if (call->ticket[0] != '\0') {
		snprintf(line, sizeof(line), "Idempotency-Key: %s", call->ticket);
		call->headers = curl_slist_append(call->headers, line);
	}
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PRIVATE, call);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
	    call->load_class == LOAD_UPLOAD ? UPLOAD_TIMEOUT_MS : REQUEST_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, 2000L);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(curl, CURLOPT_PREREQFUNCTION, on_prerequest);
	curl_easy_setopt(curl, CURLOPT_PREREQDATA, call);
	if (is_post) {
		curl_easy_setopt(curl, CURLOPT_POST, 1L);
		curl_easy_setopt(
		    curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)call->body_size);
		curl_easy_setopt(curl, CURLOPT_READFUNCTION, on_read);
		curl_easy_setopt(curl, CURLOPT_READDATA, call);
		if (caller->upload_bytes_per_s > 0 && call->load_class == LOAD_UPLOAD)
			curl_easy_setopt(curl, CURLOPT_MAX_SEND_SPEED_LARGE,
			    caller->upload_bytes_per_s);
	}
	if (curl_multi_add_handle(caller->multi, curl) != CURLM_OK)
		abort();
}

static load_class_t
class_choose(caller_t *caller)
{
	double total = 0, at;

	for (size_t i = 0; i < LOAD_CLASSES; i++)
		total += caller->mix[i];
	at = rng_unit(&caller->rng) * total;
	for (size_t i = 0; i < LOAD_CLASSES; i++) {
		if (at < caller->mix[i])
			return (load_class_t)i;
		at -= caller->mix[i];
	}
	return LOAD_LOOKUP;
}

static void
call_create(caller_t *caller, uint64_t due_at)
{
	call_t *call = calloc(1, sizeof(*call));
	load_class_t load_class = class_choose(caller);
	char extra[512] = "";

	if (call == NULL || (call->curl = curl_easy_init()) == NULL)
		abort();
	call->caller = caller;
	call->load_class = load_class;
	call->due_at = due_at;
	call->failovers_left = caller->failover;
	call->target = rng_below(&caller->rng, caller->target_count);
	call->fetches_ticket = caller->tickets && load_class == LOAD_CALL;
	call->body_size = load_class == LOAD_UPLOAD ? caller->upload_bytes
			  : load_class == LOAD_CALL ? 256
						    : 0;
	buffer_init(&call->answer, STANDIN_ANSWER_MAX_BYTES);
	snprintf(call->id, sizeof(call->id), "%s-%llu", caller->prefix,
	    (unsigned long long)caller->report.sent);
	if (load_class == LOAD_INTERNAL && caller->inner != NULL)
		snprintf(extra, sizeof(extra), "&inner=%s&levels=%d", caller->inner,
		    caller->levels);
	if (caller->work_ms >= 0)
		snprintf(extra + strlen(extra), sizeof(extra) - strlen(extra),
		    "&work_ms=%g", caller->work_ms);
	/* Crashing requests carry no id, so that all have the same fingerprint. */
	if (load_class == LOAD_CRASH)
		snprintf(
		    call->uri, sizeof(call->uri), "/%s/lookup/crash", caller->service);
	else
		snprintf(call->uri, sizeof(call->uri), "/%s/%s/x?id=%s&size=%llu%s%s",
		    caller->service, report_class_text(load_class), call->id,
		    (unsigned long long)caller->answer_bytes,
		    load_class_is_non_idempotent(load_class) ? "&once=1" : "", extra);
	caller->report.sent++;
	caller->in_flight++;
	call_start(call);
}

static void
completions_read(caller_t *caller)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(caller->multi, &left)) != NULL) {
		call_t *call;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
		call_done(call, message->data.result);
	}
	if (caller->stopped && caller->in_flight == 0)
		ev_break(caller->loop, EVBREAK_ALL);
}

static void
on_socket(struct ev_loop *loop, ev_io *io, int events)
{
	caller_t *caller = ev_userdata(loop);
	int running;

	curl_multi_socket_action(caller->multi, io->fd,
	    (events & EV_READ ? CURL_CSELECT_IN : 0) |
		(events & EV_WRITE ? CURL_CSELECT_OUT : 0),
	    &running);
	completions_read(caller);
}

static int
on_socket_change(
    CURL *curl, curl_socket_t fd, int action, void *state, void *socket_state)
{
	caller_t *caller = state;
	ev_io *io = socket_state;

	if (io != NULL)
		ev_io_stop(caller->loop, io);
	if (action == CURL_POLL_REMOVE) {
		free(io);
		return 0;
	}
	if (io == NULL) {
		io = calloc(1, sizeof(*io));
		curl_multi_assign(caller->multi, fd, io);
	}
	ev_io_init(io, on_socket, fd,
	    (action & CURL_POLL_IN ? EV_READ : 0) |
		(action & CURL_POLL_OUT ? EV_WRITE : 0));
	ev_io_start(caller->loop, io);
	return 0;
}

static void
on_curl_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	caller_t *caller = ev_userdata(loop);
	int running;

	curl_multi_socket_action(caller->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	completions_read(caller);
}

static int
on_timer_change(CURLM *multi, long ms, void *state)
{
	caller_t *caller = state;

	ev_timer_stop(caller->loop, &caller->curl_timer);
	if (ms >= 0) {
		ev_timer_set(&caller->curl_timer, (double)ms / 1000, 0);
		ev_timer_start(caller->loop, &caller->curl_timer);
	}
	return 0;
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	caller_t *caller = ev_userdata(loop);
	uint64_t now = os_clock_monotonic();
	uint64_t interval_ns = (uint64_t)(1e9 / caller->rate);
	uint64_t total = (uint64_t)(caller->rate * caller->seconds);

	while (!caller->stopped) {
		uint64_t number = caller->report.sent + caller->report.not_sent;
		uint64_t due_at = caller->started_at + number * interval_ns;

		if (number >= total || number >= REQUESTS_MAX)
			caller->stopped = true;
		else if (due_at > now)
			break;
		else if (caller->in_flight >= IN_FLIGHT_MAX)
			caller->report.not_sent++;
		else
			call_create(caller, due_at);
	}
	if (caller->stopped)
		ev_timer_stop(loop, timer);
	completions_read(caller);
}

static void
on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
	caller_t *caller = ev_userdata(loop);

	caller->stopped = true;
	completions_read(caller);
}

static void
options_read(caller_t *caller, int argc, char **argv)
{
	char *mix = strdup(standin_option(argc, argv, "mix", "lookup=1"));
	const char *path = standin_option(argc, argv, "outcomes", NULL);

	caller->target_text = strdup(standin_option(argc, argv, "targets", ""));
	for (char *at = strtok(caller->target_text, ","); at != NULL;
	     at = strtok(NULL, ","))
		if (caller->target_count < TARGETS_MAX)
			caller->targets[caller->target_count++] = at;
	if (caller->target_count == 0)
		standin_fail("--targets", "missing");
	for (char *at = strtok(mix, ","); at != NULL; at = strtok(NULL, ",")) {
		char *share = strchr(at, '=');
		size_t i = 0;

		if (share != NULL)
			*share++ = '\0';
		while (i < LOAD_CLASSES &&
		       strcmp(report_class_text((load_class_t)i), at) != 0)
			i++;
		if (share == NULL || i == LOAD_CLASSES)
			standin_fail(at, "not CLASS=SHARE");
		caller->mix[i] = strtod(share, NULL);
	}
	free(mix);
	if (path != NULL && (caller->outcomes = fopen(path, "w")) == NULL)
		standin_fail(path, "cannot open for writing");
	caller->service = standin_option(argc, argv, "service", "katalogo");
	caller->prefix = standin_option(argc, argv, "prefix", "r");
	caller->inner = standin_option(argc, argv, "inner", NULL);
	caller->key = standin_option(argc, argv, "key", NULL);
	caller->rate = standin_option_number(argc, argv, "rate", 100);
	caller->seconds = standin_option_number(argc, argv, "seconds", 1);
	caller->work_ms = standin_option_number(argc, argv, "work-ms", -1);
	caller->deadline_ms = (int)standin_option_number(argc, argv, "deadline-ms", 0);
	caller->levels = (int)standin_option_number(argc, argv, "levels", 1);
	caller->failover = (int)standin_option_number(argc, argv, "failover", 0);
	caller->tickets = standin_option_number(argc, argv, "tickets", 0) > 0;
	caller->answer_bytes =
	    (uint64_t)standin_option_number(argc, argv, "answer-bytes", 512);
	caller->upload_bytes =
	    (uint64_t)standin_option_number(argc, argv, "upload-bytes", 1000000);
	caller->upload_bytes_per_s =
	    (curl_off_t)standin_option_number(argc, argv, "upload-pace", 0);
	rng_init(&caller->rng, (uint64_t)standin_option_number(argc, argv, "seed", 1));
}

int
main(int argc, char **argv)
{
	caller_t state = {0};
	caller_t *caller = &state;
	ev_signal terminate;
	size_t capacity;

	if (curl_global_init(CURL_GLOBAL_ALL) != 0)
		return 1;
	options_read(caller, argc, argv);
	signal(SIGPIPE, SIG_IGN);
	capacity = MIN_OF((size_t)(caller->rate * caller->seconds) + 1, REQUESTS_MAX);
	if (report_init(&caller->report, capacity) != MASTICPITCH_OK)
		return 1;
	caller->loop = ev_default_loop(0);
	ev_set_userdata(caller->loop, caller);
	caller->multi = curl_multi_init();
	curl_multi_setopt(caller->multi, CURLMOPT_SOCKETFUNCTION, on_socket_change);
	curl_multi_setopt(caller->multi, CURLMOPT_SOCKETDATA, caller);
	curl_multi_setopt(caller->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
	curl_multi_setopt(caller->multi, CURLMOPT_TIMERDATA, caller);
	curl_multi_setopt(caller->multi, CURLMOPT_MAXCONNECTS, 1024L);
	ev_timer_init(&caller->curl_timer, on_curl_timer, 0, 0);
	ev_timer_init(&caller->tick, on_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
	ev_timer_start(caller->loop, &caller->tick);
	ev_signal_init(&terminate, on_signal, SIGTERM);
	ev_signal_start(caller->loop, &terminate);
	caller->started_at = os_clock_monotonic();
	ev_run(caller->loop, 0);
	if (caller->outcomes != NULL)
		fclose(caller->outcomes);
	report_print(&caller->report);
	curl_multi_cleanup(caller->multi);
	curl_global_cleanup();
	report_free(&caller->report);
	free(caller->target_text);
	return 0;
}
