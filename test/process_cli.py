"""Exit codes and error messages of the program for invalid input and failures."""

import json
import socket

from common_process import check, check_equal, run, wait_for
from harness import TOKEN, http_call, preset_make


def expect(fleet, code, arguments, *texts):
    """Runs the program; checks its exit code and that its error output has the texts."""
    found, output, errors = fleet.client(*arguments)
    check_equal(found, code, f"exit code of {arguments} ({errors}{output})")
    for text in texts:
        check(text in errors, f"{arguments}: {text!r} is missing in {errors!r}")
    if code != 0:
        check(errors.strip() != "", f"{arguments}: no error message")


def test_command_line(fleet):
    """Guards against invalid command lines that are accepted or give no error message."""
    expect(fleet, 0, ["--help"])
    expect(fleet, 0, ["--version"])
    expect(fleet, 2, [])
    expect(fleet, 2, ["no-such-command"], "no-such-command")
    expect(fleet, 2, ["node"], "settings")
    expect(fleet, 2, ["node", "--no-such-option"], "no-such-option")
    expect(fleet, 2, ["use"])


def test_settings(fleet):
    """Guards against invalid settings that are accepted, or refused without naming the
    file and the key."""
    host = fleet.host_add(1, start=False)
    path = host.settings_write()
    expect(fleet, 3, ["node", "--settings", fleet.path("missing.json")], "missing.json")
    with open(path, encoding="utf-8") as file:
        good = json.load(file)
    broken = fleet.path("broken.json")
    for key, value in (("unknown_key", 1), ("availability_zone", "UPPER"),
                       ("mesh", {"keys": []}), ("operators", {"token": "short"}),
                       ("platform", {"url": "ftp://x"}), ("log", {"level": "loud"})):
        with open(broken, "w", encoding="utf-8") as file:
            json.dump({**good, key: value}, file)
        expect(fleet, 3, ["node", "--settings", broken], "broken.json", key)
    with open(broken, "w", encoding="utf-8") as file:
        file.write("{ not json")
    expect(fleet, 3, ["node", "--settings", broken], "broken.json")


def test_address_in_use(fleet):
    """Guards against a node that runs without one of its listen addresses."""
    host = fleet.host_add(1, start=False)
    path = host.settings_write()
    ip, _, port = host.operators.partition(":")
    with socket.socket() as occupied:
        occupied.bind((ip, int(port)))
        occupied.listen()
        expect(fleet, 4, ["node", "--settings", path], host.operators)


def test_commits(fleet):
    """Guards against failed commits that end with the wrong exit code or change the
    platform."""
    platform = ["--platform", f"http://{fleet.platform_address}", "--operator", "tester",
                "--timeout", "3000"]
    unreachable = ["--platform", "http://127.0.0.1:1", "--operator", "tester",
                   "--timeout", "3000"]
    good = fleet.preset_file("good", preset_make(["katalogo"]))
    bad = fleet.preset_file("bad", {**preset_make(["katalogo"]), "format": 7})
    dangling = fleet.preset_file("dangling", {**preset_make(["katalogo"]), "services": {}})
    expect(fleet, 3, ["preset", "create", "p", "--file", bad, *platform], "format")
    expect(fleet, 3, ["preset", "create", "p", "--file", dangling, *platform], "katalogo")
    check(fleet.head() is None, "a refused preset changed the platform")
    expect(fleet, 5, ["preset", "create", "p", "--file", good, *unreachable])
    expect(fleet, 0, ["preset", "create", "p", "--file", good, *platform])
    expect(fleet, 8, ["use", "missing", *platform], "missing")
    expect(fleet, 0, ["use", "p", *platform])
    check_equal(fleet.head()["in_force"], "p", "preset in force")
    fleet.faults(outage=True)
    expect(fleet, 5, ["use", "p", *platform])


def test_preset_check(fleet):
    """Guards against a check that passes an invalid file, or does not show findings."""
    preset = preset_make(["katalogo"])
    good = fleet.preset_file("good", preset)
    bad = fleet.preset_file("bad", {**preset, "workspaces": {"w": {"keys": ["k", "k"]}}})
    unused = fleet.preset_file(
        "unused", {**preset, "workspaces": {"w": {"keys": ["secret"]}, "x": {}}})
    expect(fleet, 0, ["preset", "check", good])
    expect(fleet, 3, ["preset", "check", bad], "bad", "keys 0 and 1 are equal")
    code, output, _ = fleet.client("preset", "check", unused, "--against", good, "--json")
    check_equal(code, 10, "exit code with findings")
    check("secret" not in output, "a key is printed")
    result = json.loads(output)
    check_equal([item["place"] for item in result["findings"]], ["workspaces.x"],
                "places of the findings")
    check_equal(sorted(item["place"] for item in result["differences"]),
                ["workspaces.w", "workspaces.x"], "places of the differences")


def test_operators_interface(fleet):
    """Guards against an operators' interface that answers without the token."""
    host = fleet.host_add(1)
    wait_for(lambda: host.status() is not None, "the node answers")
    for headers, expected in (({}, 401), ({"Authorization": "Bearer wrong"}, 401),
                              ({"Authorization": f"Bearer {TOKEN}"}, 200)):
        status, _, _ = http_call(host.operators, "GET", "/status", headers=headers)
        check_equal(status, expected, f"status with {headers}")
    for path in ("/metrics", "/health"):
        check_equal(http_call(host.operators, "GET", path)[0], 200, f"status of {path}")
    host.node.terminate()
    check_equal(host.node.wait(20), 0, "exit code of a planned stop")


run(test_command_line, test_settings, test_address_in_use, test_commits,
    test_preset_check, test_operators_interface)
