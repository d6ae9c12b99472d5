"""Tests of the stand-ins and of the harness's verdict, without nodes: faults that they
must simulate or detect."""

import json
import socket
import threading

from common_process import HarnessError, check, check_equal, run, wait_for
from harness import http_call


def backend(fleet, **options):
    """Starts a backend server without a node."""
    host = fleet.host_add(1, "katalogo", start=False, announce="127.0.0.1:1", **options)
    host.backend_start()
    wait_for(lambda: "listening" in open(host.runs_path, encoding="utf-8").read(),
             "the backend server listens")
    return host


def test_platform_writes(fleet):
    """Guards against race tests that pass because the stand-in's compare-and-swap is
    broken."""
    first = fleet.key_write("k", "one", expect=0)
    check(first and fleet.key_write("k", "two", expect=0) is None,
          "a write with expect=0 failed on a new key or replaced an existing one")
    check(fleet.key_write("k", "two", expect=first) > first,
          "a write with the current revision gave no newer one")
    check(fleet.key_write("k", "three", expect=first) is None,
          "a write with an old revision succeeded")
    check_equal(fleet.key_read("k")[1], b"two", "value")
    check_equal(fleet.key_read("none"), (0, None), "missing key")
    status, _, body = http_call(fleet.platform_address, "GET", "/v1/kv?prefix=k")
    check_equal((status, len(json.loads(body)["entries"])), (200, 1), "list")
    status, _, _ = http_call(fleet.platform_address, "PUT", "/v1/kv/big", b"x" * 1048577)
    check_equal(status, 413, "a value above 1 MB")
    check_equal(fleet.counts()["conflicts"], 2, "conflicts counted")


def test_platform_leases(fleet):
    """Guards against a lease that never expires, or that can be renewed afterwards."""
    address = fleet.platform_address
    lease = json.loads(http_call(address, "POST", "/v1/leases?ttl_ms=300")[2])["lease"]
    http_call(address, "PUT", f"/v1/kv/relay/z?lease={lease}", b"node")
    check_equal(http_call(address, "POST", f"/v1/leases/{lease}/renew")[0], 200, "renewal")
    wait_for(lambda: fleet.key_read("relay/z")[0] == 0, "the lease ends")
    check_equal(http_call(address, "POST", f"/v1/leases/{lease}/renew")[0], 404,
                "renewal after the end")
    check_equal(http_call(address, "PUT", f"/v1/kv/relay/z?lease={lease}", b"x")[0], 404,
                "write under an ended lease")


def test_platform_watch(fleet):
    """Guards against a watch that misses a change or is not counted while it waits."""
    revision = fleet.key_write("head", "one")
    check_equal(http_call(fleet.platform_address, "GET", "/v1/watch/none?after=0&wait_ms=1")
                [0], 204, "watch of a missing key")
    answers = []
    watcher = threading.Thread(target=lambda: answers.append(http_call(
        fleet.platform_address, "GET", f"/v1/watch/head?after={revision}&wait_ms=15000",
        timeout=20)))
    watcher.start()
    wait_for(lambda: fleet.counts()["waiting_watches"] == 1, "the watch waits")
    fleet.key_write("head", "two")
    watcher.join(10)
    check_equal([(answer[0], answer[2]) for answer in answers], [(200, b"two")], "answer")
    check_equal(fleet.counts()["waiting_watches"], 0, "waiting watches")


def test_platform_faults(fleet):
    """Guards against injected faults without effect, so that tests of them pass."""
    revision = fleet.key_write("k", "one")
    fleet.faults(lose_answers=1)
    try:
        fleet.key_write("k", "two")
        raise HarnessError("the answer was not lost")
    except OSError:
        pass
    fleet.faults(lose_answers=0)
    check_equal(fleet.key_read("k")[1], b"two", "a write whose answer was lost")
    fleet.faults(outage=True)
    check_equal(http_call(fleet.platform_address, "GET", "/v1/kv/k")[0], 503, "outage")
    fleet.faults(outage=False, rate_reads=1)
    statuses = {http_call(fleet.platform_address, "GET", "/v1/kv/k")[0] for _ in range(9)}
    check(429 in statuses, f"no call refused by the rate limit: {statuses}")
    fleet.faults(rate_reads=0, regress_to_revision=revision)
    check_equal(fleet.key_read("k"), (revision, b"one"), "value after the regression")
    fleet.faults(cut=fleet.platform_of(2))
    try:
        http_call(fleet.platform_of(2), "GET", "/v1/kv/k", timeout=0.3)
        raise HarnessError("a call on a cut address was answered")
    except OSError:
        pass
    check_equal(http_call(fleet.platform_of(1), "GET", "/v1/kv/k")[0], 200, "other zone")


def test_verdict_doubled(fleet):
    """Guards against a verdict that misses a request run twice, also after a crash."""
    hosts = [backend(fleet), backend(fleet)]
    for host in hosts:
        http_call(host.backend_address, "POST", "/katalogo/call/x?id=a&once=1", b"body")
        http_call(host.backend_address, "GET", "/katalogo/lookup/x?id=b")
    check_equal(fleet.verdict()["doubled"], 1, "doubled runs")
    try:
        http_call(hosts[0].backend_address, "POST", "/katalogo/call/crash?id=c&once=1")
    except OSError:
        pass
    check(hosts[0].backend.wait(10) != 0, "the crashing request did not crash the server")
    hosts[0].backend_start()
    wait_for(lambda: len(fleet.runs().get("c", [])) == 1, "the crashed run is listed")


def test_caller_outcomes(fleet):
    """Guards against a caller that counts a shed, cut or wrong answer as correct."""
    host = backend(fleet, slots=1, work_ms=100)
    report = fleet.caller("shed", [host.backend_address], rate=50, seconds=1).wait()
    check(0 < report["answered"] < 50, f"answered {report}")
    check_equal(report["answered"] + report["refused"], report["sent"], "shed or answered")
    answers = {"cut": b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort",
               "wrong": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nshort",
               "unknown": b""}
    for outcome, answer in answers.items():
        with socket.create_server(("127.0.0.1", 0)) as server:
            def serve(server=server, answer=answer):
                connection, _ = server.accept()
                connection.recv(4096)
                connection.sendall(answer)
                connection.close()
            thread = threading.Thread(target=serve, daemon=True)
            thread.start()
            port = server.getsockname()[1]
            report = fleet.caller(outcome, [f"127.0.0.1:{port}"], rate=1, seconds=1).wait()
            thread.join(5)
        check_equal(report[outcome], 1, f"{outcome} in {report}")
    verdict = fleet.verdict()
    check_equal([verdict[name] for name in answers], [1, 1, 1], "verdict")


def test_backend_stop(fleet):
    """Guards against a backend server that cuts running requests at a planned stop, or
    continues to run a request whose caller has disconnected."""
    host = backend(fleet, work_ms=700)
    caller = fleet.caller("stop", [host.backend_address], rate=4, seconds=1)
    wait_for(lambda: len(fleet.runs()) == 4, "all runs began")
    host.backend.terminate()
    check_equal(host.backend.wait(20), 0, "exit code")
    check_equal(caller.wait()["answered"], 4, "answered")
    host.backend_start()
    wait_for(lambda: open(host.runs_path, encoding="utf-8").read().count("listening") == 2,
             "the backend server listens again")
    try:
        http_call(host.backend_address, "GET", "/katalogo/lookup/x?id=gone&work_ms=5000",
                  timeout=0.3)
    except OSError:
        pass
    # A run that continued would end with "done".
    wait_for(lambda: "end gone " in open(host.runs_path, encoding="utf-8").read(),
             "the run ends")
    check("end gone gone" in open(host.runs_path, encoding="utf-8").read(),
          "the run continued after its caller had disconnected")


run(test_platform_writes, test_platform_leases, test_platform_watch, test_platform_faults,
    test_verdict_doubled, test_caller_outcomes, test_backend_stop)
