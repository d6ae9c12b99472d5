"""Signals, taken addresses and limits that may end a node, mostly during its start."""

import errno
import json
import os
import signal
import socket
import time

from common_process import check, check_equal, run, wait_for

STARTS = 8
# A node leaves 0.6 s after SIGTERM if nothing runs.
END_S = 10.0
PAUSE_S = 0.0002


def has_line(host, message, **fields):
    """True if the node has logged such a line."""
    return any(event.get("message") == message and
               all(event.get(key) == value for key, value in fields.items())
               for event in host.log_events())


def settings_from_pipe(host):
    """Makes the node wait in its start until the settings are written. Returns the path
    and the settings."""
    path = host.settings_write()
    with open(path, encoding="utf-8") as file:
        content = file.read()
    os.unlink(path)
    os.mkfifo(path)
    return path, content


def pipe_open(host, path):
    """The writing end of the pipe, as soon as the node reads its settings."""
    def opened():
        check(host.node.alive(), f"the node ended early: {host.node.popen.returncode}")
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            if error.errno != errno.ENXIO:
                raise
            return None
    return wait_for(opened, "the node reads its settings", pause=0.001)


def replace(path, content):
    """Replaces a file in one step; processes that have opened it keep the old one."""
    with open(path + ".new", "w", encoding="utf-8") as file:
        file.write(content)
    os.rename(path + ".new", path)


def node_in_start(fleet, name):
    """A host whose node reads its settings from a pipe and waits for them; the file's path,
    which has the same settings by then; the settings; the pipe."""
    host = fleet.host_add(1, start=False)
    host.name = name
    path, content = settings_from_pipe(host)
    host.node = fleet.spawn(f"node-{name}",
                            [fleet.program, "node", "--settings", path])
    pipe = pipe_open(host, path)
    replace(path, content)
    return host, path, content, pipe


def send(pipe, content):
    os.write(pipe, content.encode())
    os.close(pipe)


def check_end(host, subject):
    check_equal(host.node.wait(END_S), 0, f"exit status, {subject}: {host.node.log()[-300:]}")


def test_reload_during_the_start(fleet):
    """Guards against a node that SIGHUP ends while it starts, or that keeps older settings
    than those at the signal."""
    host, path, content, pipe = node_in_start(fleet, "reload")
    replace(path, json.dumps({**json.loads(content), "log": {"level": "debug"}}))
    host.node.signal(signal.SIGHUP)
    send(pipe, content)
    wait_for(lambda: not host.node.alive() or has_line(host, "settings reloaded"),
             "settings reloaded")
    check(host.node.alive(), f"exit status {host.node.popen.returncode} after SIGHUP")
    host.node.terminate()
    check_end(host, "SIGTERM after the start")


def test_stop_during_the_start(fleet):
    """Guards against a planned stop that ends a starting node by the signal."""
    for number in (signal.SIGTERM, signal.SIGINT):
        host, _, content, pipe = node_in_start(fleet, f"stop-{number.name}")
        host.node.signal(number)
        send(pipe, content)
        check_end(host, f"{number.name} during the start")


def test_signals_without_pause(fleet):
    """Guards against signals that end a node between two steps of its start or its end."""
    for turn in range(STARTS):
        host, _, content, pipe = node_in_start(fleet, f"turn-{turn}")
        send(pipe, content)
        while host.node.alive() and not has_line(host, "node started"):
            for _ in range(20):
                host.node.signal(signal.SIGHUP)
                time.sleep(PAUSE_S)
        end = time.monotonic() + END_S
        while host.node.alive() and time.monotonic() < end:
            host.node.signal(signal.SIGTERM)
            host.node.signal(signal.SIGHUP)
            time.sleep(PAUSE_S)
        check_end(host, f"start {turn}")


def address_hold(address, kind):
    ip, _, port = address.partition(":")
    holder = socket.socket(socket.AF_INET, kind)
    holder.bind((ip, int(port)))
    if kind == socket.SOCK_STREAM:
        holder.listen()
    return holder


def addresses(fleet, host):
    readiness = f"{host.ip}:{fleet.port + 6}"
    host.settings = {"listen.readiness": readiness}
    for key in ("callers", "backend_servers", "operators", "peers"):
        yield f"listen.{key}", getattr(host, key), socket.SOCK_STREAM
    yield "listen.readiness", readiness, socket.SOCK_STREAM
    yield "listen.peers", host.peers, socket.SOCK_DGRAM


def test_address_taken_for_a_moment(fleet):
    """Guards against a node that ends because another program holds one of its addresses
    for a moment, as an outgoing connection may."""
    host = fleet.host_add(1, start=False)
    for turn, (key, address, kind) in enumerate(addresses(fleet, host)):
        host.name = f"taken-{turn}"
        with address_hold(address, kind):
            host.node_start()
            wait_for(lambda key=key: not host.node.alive() or
                     has_line(host, "address in use, waiting", key=key),
                     f"the node waits for {key}")
            check(host.node.alive(), f"{key}: exit status {host.node.popen.returncode}")
        wait_for(lambda: has_line(host, "node started"), f"start after {key} was free")
        check(has_line(host, "address is free, start continues", key=key),
              f"{key}: no line about the end of the wait")
        host.node.terminate()
        check_end(host, f"stop after the wait for {key}")


def test_stop_while_an_address_is_taken(fleet):
    """Guards against a planned stop that a node notices only when an address is free."""
    host = fleet.host_add(1, start=False)
    for number in (signal.SIGTERM, signal.SIGINT):
        host.name = f"waiting-{number.name}"
        with address_hold(host.callers, socket.SOCK_STREAM):
            host.node_start()
            wait_for(lambda: not host.node.alive() or
                     has_line(host, "address in use, waiting"), "the node waits")
            host.node.signal(number)
            check_end(host, f"{number.name} while waiting")
            check(not has_line(host, "node start failed"), "the stop counts as a failure")


def test_log_file_reaches_its_limit(fleet):
    """Guards against a node that ends by SIGXFSZ when the file of its log may not grow."""
    host = fleet.host_add(1, start=False)
    path = host.settings_write()
    host.node = fleet.spawn("node-limit", [
        "sh", "-c", 'ulimit -f 1; exec "$@"', "sh", fleet.program, "node", "--settings", path])

    def reloaded():
        check(host.node.alive(), f"exit status {host.node.popen.returncode}")
        host.node.signal(signal.SIGHUP)
        return host.metrics().get("log_suppressed_total", 0) > 0
    wait_for(lambda: not host.node.alive() or host.status(), "the node answers")
    wait_for(reloaded, "a line that cannot be written", pause=0.2)
    host.node.terminate()
    check_end(host, "SIGTERM with a log that may not grow")


run(test_reload_during_the_start, test_stop_during_the_start, test_signals_without_pause,
    test_address_taken_for_a_moment, test_stop_while_an_address_is_taken,
    test_log_file_reaches_its_limit)
