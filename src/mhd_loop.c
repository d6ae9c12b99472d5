#include "mhd_loop.h"

static void
daemon_run(mhd_loop_t *mhd)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	MHD_run(mhd->daemon);
	if (MHD_get_timeout(mhd->daemon, &timeout_ms) != MHD_YES)
		return;
	if (timeout_ms == 0) {
		defer_start(&mhd->defer);
	} else if (!ev_is_active(&mhd->timer)) {
		ev_timer_set(&mhd->timer, (double)timeout_ms / 1000.0, 0.0);
		ev_timer_start(mhd->loop, &mhd->timer);
	}
}

static void
io_callback(struct ev_loop *loop, ev_io *watcher, int events)
{
	daemon_run(watcher->data);
}

static void
timer_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	daemon_run(watcher->data);
}

static void
defer_callback(void *state)
{
	daemon_run(state);
}

void
mhd_loop_start(mhd_loop_t *mhd, struct ev_loop *loop, struct MHD_Daemon *daemon)
{
	const union MHD_DaemonInfo *info =
	    MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD);

	mhd->loop = loop;
	mhd->daemon = daemon;
	defer_init(&mhd->defer, loop, defer_callback, mhd);
	ev_timer_init(&mhd->timer, timer_callback, 0.0, 0.0);
	mhd->timer.data = mhd;
	ev_io_init(&mhd->io, io_callback, info->epoll_fd, EV_READ);
	mhd->io.data = mhd;
	ev_io_start(loop, &mhd->io);
}

void
mhd_loop_schedule(mhd_loop_t *mhd)
{
	defer_start(&mhd->defer);
}

void
mhd_loop_resume(mhd_loop_t *mhd, struct MHD_Connection *connection)
{
	MHD_resume_connection(connection);
	mhd_loop_schedule(mhd);
}

void
mhd_loop_stop(mhd_loop_t *mhd)
{
	if (mhd->daemon == NULL)
		return;
	ev_io_stop(mhd->loop, &mhd->io);
	ev_timer_stop(mhd->loop, &mhd->timer);
	defer_stop(&mhd->defer);
	mhd->daemon = NULL;
}
