/*
 * Drives a libcurl multi handle from a libev loop. Not thread-safe.
 */
#ifndef MASTICPITCH_CURL_LOOP_H
#define MASTICPITCH_CURL_LOOP_H

#include <curl/curl.h>
#include <ev.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct curl_loop curl_loop_t;

/*
 * Runs when a transfer has ended, outside of libcurl's own callbacks. The easy
 * handle has already been removed. The callback may add and remove handles.
 */
typedef void (*curl_done_t)(void *state, CURL *easy, CURLcode result);

/* Errors: MASTICPITCH_E_NOMEM. */
int curl_loop_create(
    struct ev_loop *loop, curl_done_t done, void *state, curl_loop_t **result);
/* Every handle must have been removed; NULL is allowed. */
void curl_loop_destroy(curl_loop_t *curl);

/* Limits the number of open connections, idle ones included. */
void curl_loop_set_connections(curl_loop_t *curl, unsigned connections);
/*
 * Starts a transfer; nothing is sent before the loop runs. Must not be called
 * from a callback of libcurl. Errors: MASTICPITCH_E_NOMEM.
 */
int curl_loop_add(curl_loop_t *curl, CURL *easy);
/* Cancels a transfer that has not ended yet, without calling done. */
void curl_loop_remove(curl_loop_t *curl, CURL *easy);
/*
 * Resumes the paused directions of a transfer. libcurl's callbacks may run
 * inside this call; done may run later even if no socket has an event.
 */
void curl_loop_unpause(curl_loop_t *curl, CURL *easy);

#ifdef __cplusplus
}
#endif

#endif
