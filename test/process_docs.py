"""Documentation: every documented command runs, and the tables match the code."""

import os
import re
import shlex
import subprocess
import sys

from common_process import check, check_equal, run
from harness import ROOT, TOKEN

# Exit codes of documented commands that are meant to fail; all others end with 0.
EXPECTED = {
    "preset edit peak --file example/broken.json": 3,
    "use maintenance --operator ben --if-version 1": 6,
}


def commands_of(path):
    """The masticpitch commands of the sh blocks of a page."""
    with open(os.path.join(ROOT, path), encoding="utf-8") as file:
        text = file.read()
    for block in re.findall(r"```sh\n(.*?)```", text, flags=re.S):
        for line in block.splitlines():
            if line.startswith("masticpitch "):
                yield line.removeprefix("masticpitch ")


def start_example_mesh(fleet):
    for zone in (1, 2):
        for service in ("katalogo", "pamigay"):
            fleet.host_add(zone, service)
    os.environ.update({
        "MASTICPITCH_PLATFORM": f"http://{fleet.platform_address}",
        "MASTICPITCH_NODE": f"http://{fleet.hosts[0].operators}",
        "MASTICPITCH_TOKEN": TOKEN, "MASTICPITCH_OPERATOR": "ana"})
    os.chdir(ROOT)
    fleet.wait_members(4)


def test_readme(fleet):
    """Guards against a command in the README's first ten minutes that fails."""
    start_example_mesh(fleet)
    commands = list(commands_of("README.md"))
    check(len(commands) >= 10, "fewer than 10 commands found in README.md")
    for command in commands:
        code, output, errors = fleet.client(*shlex.split(command, comments=True))
        check_equal(code, EXPECTED.get(command, 0), f"{command}: {output}{errors}")


def test_operations(fleet):
    """Guards against a command on the operators' page that the program refuses."""
    start_example_mesh(fleet)
    fleet.operator_must("preset", "create", "peak", "--file", "example/peak.json")
    fleet.operator_must("preset", "create", "ordinary", "--file", "example/ordinary.json")
    with open(os.path.join(ROOT, "docs/OPERATIONS.md"), encoding="utf-8") as file:
        text = file.read()
    commands = re.findall(r"`masticpitch ([^`]+)`", text)
    check(len(commands) >= 10, "fewer than 10 commands found in docs/OPERATIONS.md")
    replaced = {"peak.json": "example/peak.json", "NAME": "peak", "F": "example/peak.json",
                "ID": "0" * 32, "N": "1", "FILE": "example/peak.json"}
    for command in commands:
        words = [replaced.get(word, word) for word in shlex.split(command)]
        if words == ["operation"] or words[0] in ("COMMAND", "operation") and len(words) == 1:
            words.append("--help")
        if words[0] == "COMMAND":
            words[0] = "status"
        code, output, errors = fleet.client(*words)
        check(code in (0, 6, 8), f"{command}: exit code {code}: {output}{errors}")


def test_tables(_fleet):
    """Guards against a refusal reason or counter that the operators' page omits."""
    script = os.path.join(ROOT, "tools", "docs_tables.py")
    check_equal(subprocess.run([sys.executable, script, "--check"], check=False).returncode,
                0, "tables of docs/OPERATIONS.md")


def test_manual(fleet):
    """Guards against a manual page or shell completion that omits a command."""
    _, manual, _ = fleet.client("manual")
    _, completion, _ = fleet.client("completion")
    _, usage, _ = fleet.client("--help")
    names = re.findall(r"^  ([a-z]+(?: [a-z]+)?)  +\S", usage, flags=re.M)
    check(len(names) >= 15, f"fewer than 15 commands found in --help: {names}")
    for name in names:
        check(f".B {name}\n" in manual, f"{name} is missing in the manual page")
        for word in name.split():
            check(word in completion, f"{word} is missing in the completion")


if __name__ == "__main__":
    run(test_readme, test_operations, test_tables, test_manual)
