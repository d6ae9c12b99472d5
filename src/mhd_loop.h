/*
 * Drives a libmicrohttpd daemon in external epoll mode by a libev loop. One
 * thread.
 */
#ifndef MASTICPITCH_MHD_LOOP_H
#define MASTICPITCH_MHD_LOOP_H

#include "defer.h"
#include "os.h"

#include <ev.h>
#include <microhttpd.h>

#ifdef __cplusplus
extern "C" {
#endif

/* For MHD_start_daemon(). */
#define MHD_LOOP_FLAGS (MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME)

typedef struct mhd_loop {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	ev_io io;
	ev_timer timer;
	defer_t defer;
} mhd_loop_t;

/* Starts to watch the daemon. */
void mhd_loop_start(mhd_loop_t *mhd, struct ev_loop *loop, struct MHD_Daemon *daemon);
/*
 * Resumes a suspended connection. Without threads of its own libmicrohttpd has
 * no event for it, so the daemon is run from the loop soon.
 */
void mhd_loop_resume(mhd_loop_t *mhd, struct MHD_Connection *connection);
/* Stops to watch; harmless if it was not started. */
void mhd_loop_stop(mhd_loop_t *mhd);
/* Lets the daemon run soon, after a change that it has no event for. */
void mhd_loop_schedule(mhd_loop_t *mhd);

#ifdef __cplusplus
}
#endif

#endif
