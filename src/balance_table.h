/*
 * The instance table behind balance.h: instances by node id and by service.
 * Private to balance.c, balance_record.c and balance_table.c.
 */
#ifndef MASTICPITCH_BALANCE_TABLE_H
#define MASTICPITCH_BALANCE_TABLE_H

#include "balance.h"

#define BALANCE_INSTANCE_BUCKETS 4096
#define BALANCE_SERVICE_BUCKETS 1024

/* Locality of an instance: the zone of the entry, its region, or another region. */
typedef enum tier { TIER_ZONE, TIER_REGION, TIER_FAR, TIER_COUNT } tier_t;

typedef struct balance_service balance_service_t;

typedef struct balance_instance {
	struct balance_instance *next; /* in its bucket */
	balance_service_t *service;
	size_t position; /* in the service's array */
	uint64_t node;
	uint64_t generation;
	char zone[ZONE_BYTES];
	tier_t tier;
	member_state_t member_state;
	instance_state_t state;
	bool reachable;
	bool leaving; /* from a refusal, before the member table shows it */
	uint64_t incarnation;
	uint32_t sequence;
	uint32_t slots;
	uint64_t blocked_until; /* not chosen before */
	uint64_t ready_at;	/* start of slow start */
	uint32_t in_flight;
	uint32_t class_in_flight[ROUTE_CLASS_COUNT];
	uint32_t long_in_flight; /* with long answers */
	load_report_t load;
	uint64_t load_at; /* 0: none yet */
	double latency_us;
	uint64_t latency_at;  /* 0: no sample yet */
	double refused_share; /* moving average: attempts refused for overload */
	uint64_t refused_share_at;
	uint32_t consecutive_failures;
	uint64_t consecutive_failure_at; /* last one that was counted */
	double recent_successes;	 /* both decay with time */
	double recent_failures;
	uint64_t recent_at;
	uint64_t ejected_until; /* 0: never */
	uint32_t ejections;	/* since the last reset of the backoff */
	uint64_t successes;
	uint64_t failures;
	char release[NAME_BYTES];
	uint64_t started_ms;
	rollout_role_t role;
	bool sampled; /* TARGET: one of those that sampled requests go to */
} balance_instance_t;

struct balance_service {
	balance_service_t *next; /* in its bucket */
	char name[NAME_BYTES];
	balance_instance_t **instances;
	size_t count;
	size_t capacity;
	double latency_us;	    /* moving average over all instances; 0: no sample */
	rollout_service_t *rollout; /* NULL: no step; in the balance's table */
	bool hosts_report;	    /* see balance_hosts_report() */
	double utilisation;	    /* at utilisation_at */
	uint64_t utilisation_at;    /* 0: never */
	union {
		size_t next_position; /* BALANCE_NAIVE */
	} u;
};

struct balance {
	balance_kind_t kind;
	uint64_t local; /* node of this entry; 0: not known */
	char zone[ZONE_BYTES];
	char region[ZONE_BYTES];
	uint64_t generation;
	size_t count;
	bool rollouts; /* enabled */
	uint32_t rollout_extra;
	rollout_table_t rollout;
	uint64_t sampled; /* requests */
	balance_instance_t *instances[BALANCE_INSTANCE_BUCKETS];
	balance_service_t *services[BALANCE_SERVICE_BUCKETS];
};

/* The instance of a node, or NULL. */
balance_instance_t *balance_instance_find(const balance_t *balance, uint64_t node);
/* The service of that name, if it has an instance, or NULL. */
balance_service_t *balance_service_find(const balance_t *balance, const char *name);

/* Share of a value that remains after its decay since time at. */
double balance_decay(uint64_t at, uint64_t now, uint64_t half_life_ms);
bool balance_instance_is_ejected(const balance_instance_t *instance, uint64_t now);
/*
 * Whether the instance may be chosen if there is no better one: ready, reachable,
 * neither leaving nor blocked, but possibly ejected or suspect.
 */
bool balance_instance_is_eligible(const balance_instance_t *instance, uint64_t now);
/*
 * Moving average of the share of attempts that the gate accepts; without new
 * attempts it returns to 1. A gate that refuses immediately has few calls in flight
 * and so looks idle; scores are therefore divided by this share.
 */
double balance_instance_acceptance(const balance_instance_t *instance, uint64_t now);

/* balance_rollout.c */
/* Computes the roles of a service's instances after a change. */
void balance_roles_update(balance_t *balance, balance_service_t *service);
/* Records an answer of the instance, or the end of an attempt without one: status 0. */
void balance_rollout_record(balance_instance_t *instance,
    const balance_attempt_t *attempt, int status, uint64_t now);

#endif
