"""Two operators switch and edit presets concurrently."""

from common_process import check, check_equal, run, start_mesh
from harness import preset_make

ROUNDS = 8


def run_concurrently(fleet, number, commands):
    """Runs client commands concurrently; returns their exit codes."""
    processes = [fleet.spawn(f"operator-{number}-{index}", [
        fleet.program, *command, "--platform", f"http://{fleet.platform_address}",
        "--operator", f"operator-{index}"]) for index, command in enumerate(commands)]
    codes = [process.wait(30) for process in processes]
    for code, process in zip(codes, processes):
        check(code in (0, 6), f"exit code {code}: {process.log()}")
    return codes


def test_switch_race(fleet):
    """Guards against two concurrent commits that both report success although one
    overwrote the other."""
    start_mesh(fleet, hosts_per_zone=1, backends=False)
    for number in range(ROUNDS):
        before = fleet.head()["version"]
        codes = run_concurrently(fleet, number, [("use", "peak"), ("use", "maintenance")])
        after = fleet.head()
        check(0 in codes, f"no commit succeeded: {codes}")
        check_equal(after["version"], before + codes.count(0),
                    f"version after exit codes {codes}")
        operators = {item["operator"] for item in after["history"]
                     if item["version"] > before}
        check_equal(operators, {f"operator-{index}" for index, code in enumerate(codes)
                                if code == 0}, "operators in the history")
    fleet.wait_versions(fleet.head()["version"])
    for host in fleet.hosts:
        check_equal((host.status() or {}).get("preset"), fleet.head()["in_force"],
                    f"preset in force on {host.name}")


def test_edit_race(fleet):
    """Guards against a preset whose parts a concurrent commit has removed."""
    start_mesh(fleet, hosts_per_zone=1, backends=False)
    for number in range(ROUNDS):
        files = [fleet.preset_file(f"edit-{number}-{index}",
                                   preset_make(["katalogo"], 1000 + 10 * number + index))
                 for index in range(2)]
        before = fleet.head()["version"]
        codes = run_concurrently(fleet, number, [
            ("preset", "create", f"preset-{index}-{number % 2}", "--file", files[index])
            if number < 2 else
            ("preset", "edit", f"preset-{index}-{number % 2}", "--file", files[index])
            for index in range(2)])
        check_equal(fleet.head()["version"], before + codes.count(0),
                    f"version after exit codes {codes}")
        # A creation that lost the race is retried here, since later rounds edit the
        # preset.
        for index in range(2):
            if number < 2 and codes[index] != 0:
                fleet.operator_must("preset", "create", f"preset-{index}-{number}",
                                    "--file", files[index])
        for name, preset in fleet.head()["presets"].items():
            for digest in preset["parts"]:
                check(fleet.key_read(f"masticpitch/part/{digest}")[1] is not None,
                      f"preset {name} refers to part {digest}, which does not exist")
    fleet.wait_versions(fleet.head()["version"])


run(test_switch_race, test_edit_race)
