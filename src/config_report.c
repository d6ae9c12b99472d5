#include "config_report.h"

#include "util.h"

/* A head that could not be read; on level info, since lines of level debug are off. */
static void
failed_read_report(
    const config_report_t *report, const char *call, const platform_answer_t *answer)
{
	log_info(report->log, "configuration not read from the platform",
	    LOG_TEXT("call", call),
	    LOG_TEXT("outcome", platform_outcome_text(answer->outcome)),
	    LOG_NUMBER("status", answer->status),
	    LOG_NUMBER("duration_ms", (int64_t)(answer->duration / NS_PER_MS)));
}

static bool
is_failed_read(spread_call_t call, platform_outcome_t outcome)
{
	return (call == SPREAD_CALL_GET_HEAD || call == SPREAD_CALL_WATCH_HEAD) &&
	       (outcome == PLATFORM_REFUSED || outcome == PLATFORM_NOT_SENT ||
		   outcome == PLATFORM_UNKNOWN);
}

void
config_report_answer(
    config_report_t *report, spread_call_t call, const platform_answer_t *answer)
{
	static const char *const calls[] = {
	    [SPREAD_CALL_GET_HEAD] = "get-head",
	    [SPREAD_CALL_WATCH_HEAD] = "watch-head",
	    [SPREAD_CALL_GET_PART] = "get-part",
	    [SPREAD_CALL_LEASE_CREATE] = "lease-create",
	    [SPREAD_CALL_LEASE_RENEW] = "lease-renew",
	    [SPREAD_CALL_LEASE_REVOKE] = "lease-revoke",
	    [SPREAD_CALL_RELAY_PUT] = "relay-put",
	    [SPREAD_CALL_RELAY_GET] = "relay-get",
	};

	log_debug(report->log, "answer of the platform", LOG_TEXT("call", calls[call]),
	    LOG_TEXT("outcome", platform_outcome_text(answer->outcome)),
	    LOG_NUMBER("status", answer->status),
	    LOG_NUMBER("revision", answer->revision),
	    LOG_NUMBER("store_revision", answer->store_revision),
	    LOG_NUMBER("store_epoch", answer->store_epoch),
	    LOG_NUMBER("lease", answer->lease),
	    LOG_NUMBER("duration_us", answer->duration / 1000));
	if (is_failed_read(call, answer->outcome))
		failed_read_report(report, calls[call], answer);
}

static void
reachability_report(config_report_t *report, platform_health_t health)
{
	bool lost = !health.reachable && health.failures > 0;

	if (lost == report->platform_lost)
		return;
	report->platform_lost = lost;
	if (lost)
		log_warning(report->log, "platform does not answer",
		    LOG_NUMBER("failed_calls", health.failures));
	else
		log_info(report->log, "platform answers again",
		    LOG_NUMBER("failed_calls", health.failures));
}

static uint64_t
age_ms(uint64_t now, uint64_t at)
{
	return at != 0 && now > at ? (now - at) / NS_PER_MS : 0;
}

void
config_report_changes(config_report_t *report, const spread_status_t *status,
    platform_health_t platform, uint64_t now)
{
	const spread_status_t *reported = &report->reported;
	const spread_counters_t *new = &status->counters;
	const spread_counters_t *old = &reported->counters;
	metrics_t *metrics = report->metrics;
	log_t *log = report->log;

	metrics_add(metrics, METRIC_CONFIG_APPLIED, new->applied - old->applied);
	metrics_add(metrics, METRIC_CONFIG_REFUSED, new->refused - old->refused);
	metrics_add(metrics, METRIC_CONFIG_STALE, new->stale - old->stale);
	metrics_add(metrics, METRIC_CONFIG_PULLS, new->pulls - old->pulls);
	metrics_add(metrics, METRIC_CONFIG_PUSHES, new->pushes - old->pushes);
	metrics_add(metrics, METRIC_CONFIG_DROPPED, new->dropped - old->dropped);
	metrics_add(
	    metrics, METRIC_CONFIG_READS_FAILED, new->reads_failed - old->reads_failed);
	metrics_add(
	    metrics, METRIC_CONFIG_PULLS_FAILED, new->pulls_failed - old->pulls_failed);
	metrics_add(
	    metrics, METRIC_CONFIG_STALE_READS, new->stale_reads - old->stale_reads);
	metrics_add(metrics, METRIC_PLATFORM_OUTDATED, new->outdated - old->outdated);
	metrics_set(metrics, METRIC_CONFIG_VERSION, status->version);
	metrics_set(metrics, METRIC_CONFIG_VERSION_MAX, status->version_max);
	metrics_set(metrics, METRIC_CONFIG_WATCHING, status->watching);
	metrics_set(metrics, METRIC_CONFIG_RELAY, status->relay);
	metrics_set(metrics, METRIC_PLATFORM_REGRESSED, status->regressed);
	if (status->regressed && !reported->regressed)
		log_warning(log,
		    "platform regressed: it holds an older configuration than this node",
		    LOG_NUMBER("version", status->accepted));
	if (!status->regressed && reported->regressed)
		log_info(log, "platform holds the newest configuration again");
	if (status->store_epoch != reported->store_epoch) {
		metrics_set(metrics, METRIC_PLATFORM_STORE_EPOCH, status->store_epoch);
		log_info(log,
		    reported->store_epoch != 0 ? "platform store was restored from a copy"
					       : "platform store names its epoch",
		    LOG_NUMBER("store_epoch", status->store_epoch));
	}
	if (status->lease_held != reported->lease_held)
		log_info(log,
		    status->lease_held ? "holds the relay lease"
				       : "no longer holds the relay lease",
		    LOG_NUMBER("lease", status->lease));
	if (status->relay != reported->relay)
		log_info(log, status->relay ? "assumed the relay role of the zone"
					    : "gave up the relay role of the zone");
	if (status->watching != reported->watching)
		log_info(log,
		    status->watching ? "watches the platform"
				     : "no longer watches the platform",
		    LOG_NUMBER("version", status->version));
	if (status->version_max > status->version &&
	    status->version_max > reported->version_max)
		log_info(log, "newer configuration is known",
		    LOG_NUMBER("version", status->version),
		    LOG_NUMBER("version_max", status->version_max),
		    LOG_TEXT("watching", status->watching ? "yes" : "no"));
	if (new->pulls_failed != old->pulls_failed)
		log_info(log, "pull of a newer configuration failed",
		    LOG_NUMBER("version", status->version),
		    LOG_NUMBER("version_max", status->version_max),
		    LOG_NUMBER("failed", (int64_t) new->pulls_failed));
	if (new->stale_reads != old->stale_reads)
		log_info(log, "configuration not verified in time, reading the platform",
		    LOG_NUMBER("version", status->version),
		    LOG_NUMBER("version_max", status->version_max),
		    LOG_NUMBER("verified_age_ms", age_ms(now, status->verified_at)));
	reachability_report(report, platform);
	report->reported = *status;
}

static void
alarms_add(const spread_status_t *status, bool reachable, struct json_object *report)
{
	struct json_object *alarms = json_object_new_array();

	if (status->regressed)
		json_object_array_add(
		    alarms, json_object_new_string("platform-regressed"));
	if (status->refused[0] != '\0')
		json_object_array_add(
		    alarms, json_object_new_string("configuration-refused"));
	if (!reachable)
		json_object_array_add(
		    alarms, json_object_new_string("platform-unreachable"));
	if (status->version == 0)
		json_object_array_add(alarms, json_object_new_string("no-configuration"));
	json_object_object_add(report, "alarms", alarms);
}

struct json_object *
config_report_status(
    const spread_status_t *status, platform_health_t health, uint64_t now)
{
	/* A node that has not called the platform does not report it unreachable. */
	bool reachable = health.reachable || health.failures == 0;
	struct json_object *report = json_object_new_object();
	struct json_object *platform = json_object_new_object();

	json_object_object_add(
	    report, "version", json_object_new_uint64(status->version));
	json_object_object_add(report, "preset", json_object_new_string(status->preset));
	json_object_object_add(report, "version_age_ms",
	    json_object_new_uint64(age_ms(now, status->accepted_at)));
	if (status->confirmed_at != 0)
		json_object_object_add(report, "confirmed_age_ms",
		    json_object_new_uint64(age_ms(now, status->confirmed_at)));
	if (status->verified_at != 0)
		json_object_object_add(report, "verified_age_ms",
		    json_object_new_uint64(age_ms(now, status->verified_at)));
	json_object_object_add(
	    report, "version_floor", json_object_new_uint64(status->floor));
	json_object_object_add(
	    report, "version_max", json_object_new_uint64(status->version_max));
	json_object_object_add(platform, "reachable", json_object_new_boolean(reachable));
	if (health.last_answer_at != 0)
		json_object_object_add(platform, "last_answer_ms",
		    json_object_new_uint64(age_ms(now, health.last_answer_at)));
	json_object_object_add(
	    platform, "regressed", json_object_new_boolean(status->regressed));
	json_object_object_add(report, "platform", platform);
	json_object_object_add(
	    report, "watching", json_object_new_boolean(status->watching));
	json_object_object_add(report, "relay", json_object_new_boolean(status->relay));
	if (status->refused[0] != '\0')
		json_object_object_add(
		    report, "refused", json_object_new_string(status->refused));
	alarms_add(status, reachable, report);
	return report;
}
