"""Measures of requests: nodes with backend servers and callers."""

import random
import time

from harness import Fleet, HarnessError, preset_make

ZONES = 2
SERVICE = "katalogo"
RATE_PER_NODE = 60
LATENCY_S = 10
LATENCY_ROUNDS = 3
SLOTS = 10
OVERLOAD_WORK_MS = 20
OVERLOAD_S = 8
LEAVES = 5
START_WAIT_S = 60
QUOTA_RATE = 150
QUOTA_WINDOW_S = 5
QUOTA_ROUNDS = 3


def start(fleet, nodes, **backend_options):
    for number in range(nodes):
        fleet.host_add(number % len(fleet.zones) + 1, SERVICE, **backend_options)
    fleet.preset_create("normal", preset_make([SERVICE]))
    fleet.wait_versions(fleet.use("normal"), timeout=START_WAIT_S)
    fleet.wait_instances(SERVICE, nodes, timeout=START_WAIT_S)


def measure_added_latency(nodes, settings, seed):
    """Alternates rounds of direct and routed calls at the same rate; the median over the
    rounds of each percentile's difference."""
    with Fleet(zones=ZONES, settings=settings) as fleet:
        start(fleet, nodes, work_ms=0)
        time.sleep(11)  # slow start of new instances ends after 10 s
        points = {"routed": [], "direct": []}
        for turn in range(LATENCY_ROUNDS):
            for kind, targets in (("direct", [host.backend_address for host in fleet.hosts]),
                                  ("routed", fleet.hosts)):
                report = fleet.caller(
                    f"{kind}-{turn}", targets, service=SERVICE, seconds=LATENCY_S,
                    rate=RATE_PER_NODE * nodes, seed=seed + turn, work_ms=0).wait(90)
                if report["answered"] < 0.99 * report["sent"]:
                    raise HarnessError(f"{kind}: fewer than 99% of the calls were answered: {report}")
                points[kind].append(report["classes"]["lookup"])
        # The median limits the effect of a single disturbed round.
        differences = [sorted(routed[name] - direct[name] for routed, direct in zip(
            points["routed"], points["direct"]))[LATENCY_ROUNDS // 2]
            for name in ("p50", "p99")]
        print(f"added latency, {nodes} nodes: direct {points['direct'][0]['p50']:.3f} / "
              f"{points['direct'][0]['p99']:.3f} ms, routed "
              f"{points['routed'][0]['p50']:.3f} / {points['routed'][0]['p99']:.3f} ms "
              "(p50 / p99 of the first round)", flush=True)
        return {"added_latency_ms": {"p50": differences[0], "p99": differences[1],
                                     "max": max(routed["p99"] - direct["p99"]
                                                for routed, direct in zip(
                                         points["routed"], points["direct"]))}}


def overload_run(fleet, name, factor, nodes, seed):
    """(goodput in calls answered within their deadline a second, p99 ms of internal calls)."""
    capacity = nodes * SLOTS * 1000 / OVERLOAD_WORK_MS
    report = fleet.caller(name, fleet.hosts, service=SERVICE, seconds=OVERLOAD_S,
                          rate=0.7 * capacity * factor, seed=seed, deadline_ms=500,
                          mix="lookup=70,call=20,internal=10").wait(120)
    internal = report["classes"]["internal"].get("p99", 0)
    return report["answered"] / OVERLOAD_S, internal


def measure_overload(nodes, settings, seed):
    """Compares overload with normal load: 70% of the backend servers' capacity, and five
    times that rate."""
    with Fleet(zones=ZONES, settings=settings) as fleet:
        start(fleet, nodes, slots=SLOTS, work_ms=OVERLOAD_WORK_MS)
        time.sleep(11)
        goodput, latency = [], []
        for turn in range(3):
            normal = overload_run(fleet, f"normal-{turn}", 1, nodes, seed + turn)
            heavy = overload_run(fleet, f"heavy-{turn}", 5, nodes, seed + turn)
            goodput.append(heavy[0] / max(normal[0], 1))
            latency.append(heavy[1] / max(normal[1], 0.001))
        return {"goodput_ratio": goodput, "internal_p99_ratio": latency}


def measure_quota(nodes, settings, seed):
    """A workspace that sends three times its quota to all nodes, after it has sent
    nothing: what is answered in 5 s, as a share of rate x 5 + burst; then what is answered
    of the rate alone, once the burst is used up."""
    with Fleet(zones=ZONES, settings=settings) as fleet:
        for number in range(nodes):
            fleet.host_add(number % len(fleet.zones) + 1, SERVICE, work_ms=0)
        preset = preset_make([SERVICE])
        preset["workspaces"] = {"north": {
            "keys": ["key-of-north"], "rate_per_s": QUOTA_RATE, "burst": QUOTA_RATE}}
        fleet.preset_create("normal", preset)
        fleet.wait_versions(fleet.use("normal"), timeout=START_WAIT_S)
        fleet.wait_instances(SERVICE, nodes, timeout=START_WAIT_S)
        overshoot, served = [], []
        for turn in range(QUOTA_ROUNDS):
            time.sleep(5)
            answered = [fleet.caller(
                f"quota-{turn}-{part}", fleet.hosts, service=SERVICE, work_ms=0,
                seconds=QUOTA_WINDOW_S, rate=3 * QUOTA_RATE, key="key-of-north",
                seed=seed + turn).wait(90)["answered"] for part in range(2)]
            overshoot.append(answered[0] / (QUOTA_RATE * (QUOTA_WINDOW_S + 1)))
            served.append(answered[1] / (QUOTA_RATE * QUOTA_WINDOW_S))
        return {"quota_overshoot_ratio": overshoot, "quota_served_ratio": served}


def measure_leaving(nodes, settings, seed):
    """Stops backend servers one after another under load; time from the signal to the
    last run that began on the leaving one."""
    rng = random.Random(seed)
    with Fleet(zones=ZONES, settings=settings) as fleet:
        start(fleet, nodes, work_ms=1)
        values = []
        for turn, host in enumerate(rng.sample(fleet.hosts, min(LEAVES, nodes // 2))):
            caller = fleet.caller(f"leave-{turn}", fleet.hosts, service=SERVICE, seconds=5,
                                  rate=RATE_PER_NODE * nodes, seed=seed + turn)
            time.sleep(2)
            left = time.time()
            host.backend.terminate()
            if host.backend.wait(30) != 0:
                raise HarnessError(f"{host.name}: planned stop failed")
            caller.wait(60)
            last = max((int(item[3]) for items in fleet.runs().values() for item in items
                        if item[4] == host.name), default=0)
            values.append(max(0.0, last - left * 1000))
            host.backend_start()
            fleet.wait_instances(SERVICE, nodes)
        return {"leaving_no_new_work_ms": values}
