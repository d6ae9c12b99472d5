#!/usr/bin/env python3
"""Writes the tables of reasons and counters in docs/OPERATIONS.md from
src/reason.def and src/metric.def. With --check it only compares them: exit status 1 if
they differ."""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "OPERATIONS.md"


def rows(path, macro):
    text = (ROOT / "src" / path).read_text()
    text = re.sub(r"/\*.*?\*/", "", text, flags=re.S)
    pattern = macro + r'\(\s*(\w+),\s*(?:(\w+),\s*)?"([^"]*)",\s*(?:(\d+),\s*)?((?:"[^"]*"\s*)+)\)'
    for symbol, kind, name, status, strings in re.findall(pattern, text):
        yield symbol, kind, name, status, "".join(re.findall(r'"([^"]*)"', strings))


def reason_table():
    lines = ["| reason | status | meaning |", "| --- | --- | --- |"]
    for symbol, _, name, status, meaning in rows("reason.def", "REASON"):
        if symbol != "NONE":
            lines.append(f"| `{name}` | {status} | {meaning} |")
    return lines


def metric_table():
    lines = ["| counter or gauge | kind | meaning |", "| --- | --- | --- |"]
    for _, kind, name, _, meaning in rows("metric.def", "METRIC"):
        lines.append(f"| `masticpitch_{name}` | {kind.lower()} | {meaning} |")
    return lines


def replace(text, name, lines):
    begin, end = f"<!-- {name}:begin -->", f"<!-- {name}:end -->"
    head, rest = text.split(begin)
    _, tail = rest.split(end)
    return head + begin + "\n" + "\n".join(lines) + "\n" + end + tail


def main():
    old = PAGE.read_text()
    new = replace(old, "reasons", reason_table())
    new = replace(new, "metrics", metric_table())
    if "--check" in sys.argv:
        if old != new:
            print("docs/OPERATIONS.md: tables differ from the code; run tools/docs_tables.py")
            return 1
        return 0
    PAGE.write_text(new)
    return 0


if __name__ == "__main__":
    sys.exit(main())
