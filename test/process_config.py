"""Distribution of the configuration with real processes. Guards against a committed
version that does not reach every node within 3 s after a failure, a node that goes back
when the platform loses versions, and an invalid record that a node accepts or that the
status does not report."""
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tools"))
import harness  # noqa: E402

CONVERGENCE_LIMIT_S = 3.0


def preset(queue_limit):
    return {"format": 1, "services": {"katalogo": {"queue_limit": queue_limit}},
            "routes": [{"name": "list", "prefix": "/katalogo/", "service": "katalogo"}]}


def check(condition, message):
    if not condition:
        raise harness.HarnessError(message)


def commit_reaches_all(fleet, title, hosts=None):
    version = fleet.use("peak" if fleet.head()["in_force"] == "normal" else "normal")
    started = time.monotonic()
    fleet.wait_versions(version, hosts, timeout=CONVERGENCE_LIMIT_S)
    print(f"{title}: version {version} on {len(hosts or fleet.living())} nodes after "
          f"{(time.monotonic() - started) * 1000:.0f} ms")
    return version


def relays(fleet):
    return [host for host in fleet.living() if (host.status() or {}).get("relay")]


def run(source):
    settings = {"configuration.source": source}
    with harness.Fleet(zones=2, settings=settings) as fleet:
        fleet.preset_create("normal", preset(10))
        fleet.preset_create("peak", preset(20))
        for zone in (1, 2):
            for _ in range(4):
                fleet.host_add(zone)
        fleet.wait_versions(2, timeout=10)
        fleet.wait_members(8)
        commit_reaches_all(fleet, f"{source}, no failure")
        if source == "relay":
            harness.wait_for(lambda: len(relays(fleet)) == 2, "one relay in each zone")
            waiting = fleet.counts()["waiting_watches"]
            check(waiting <= 2,
                  f"{waiting} watches wait at the platform, expected at most one per zone")
            killed = relays(fleet)[0]
            killed.node.kill()
            commit_reaches_all(fleet, "relay killed")
            killed.node_start()
            paused = relays(fleet)[0]
            paused.node.pause()
            others = [host for host in fleet.living() if host is not paused]
            version = commit_reaches_all(fleet, "relay paused", others)
            paused.node.resume()
            fleet.wait_versions(version, [paused], timeout=CONVERGENCE_LIMIT_S)
        version = fleet.head()["version"]
        for host in fleet.living():
            host.node.kill()
        for host in fleet.hosts:
            host.node_start()
        fleet.wait_versions(version, timeout=10)
        fleet.wait_members(8)
        commit_reaches_all(fleet, f"{source}, all restarted")

        # An invalid record, written to the platform without the client program.
        revision, text = fleet.key_read("masticpitch/head")
        head = json.loads(text)
        bad = json.loads(text)
        bad["version"] += 1
        bad["presets"]["normal"]["parts"][0] = bad["presets"]["normal"]["parts"][-1]
        bad["history"].append({**bad["history"][-1], "version": bad["version"],
                               "operation": "f" * 32})
        fleet.key_write("masticpitch/head", json.dumps(bad), revision)
        harness.wait_for(
            lambda: any("configuration-refused" in (host.status() or {}).get("alarms", [])
                        for host in fleet.living()), "a node reports the refused record")
        check(all(host.version() == head["version"] for host in fleet.living()),
              "a node replaced the version in force by an invalid one")
        fleet.operator_must("preset", "edit", "normal", "--file",
                            fleet.preset_file("normal", preset(11)))
        fleet.wait_versions(bad["version"] + 1, timeout=CONVERGENCE_LIMIT_S)

        # The platform loses the newest versions.
        newest = fleet.head()["version"]
        fleet.key_write("masticpitch/head", json.dumps(head))
        harness.wait_for(
            lambda: any("platform-regressed" in (host.status() or {}).get("alarms", [])
                        for host in fleet.living()), "the regression raises an alarm")
        check(all(host.version() == newest for host in fleet.living()),
              "a node went back to the platform's older version")
        found = fleet.faults_found()
        check(not found, f"faults in the logs: {found}")


def main():
    run("relay")
    run("watch")


main()
