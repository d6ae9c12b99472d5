/*
 * Drives a libmicrohttpd daemon in external epoll mode from a libev loop. Not
 * thread-safe.
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

/* Flags for MHD_start_daemon(). */
#define MHD_LOOP_FLAGS (MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME)

typedef struct mhd_loop {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	ev_io io;
	ev_timer timer;
	defer_t defer;
} mhd_loop_t;

/* Starts running the daemon from the loop. */
void mhd_loop_start(mhd_loop_t *mhd, struct ev_loop *loop, struct MHD_Daemon *daemon);
/*
 * Resumes a suspended connection. Without threads of its own libmicrohttpd gets no
 * event for it, so a run of the daemon is scheduled.
 */
void mhd_loop_resume(mhd_loop_t *mhd, struct MHD_Connection *connection);
/* Stops running the daemon from the loop; no effect if it was not started. */
void mhd_loop_stop(mhd_loop_t *mhd);
/* Runs the daemon soon, from the loop; for a change that causes no event. */
void mhd_loop_schedule(mhd_loop_t *mhd);

#ifdef __cplusplus
}
#endif

#endif
