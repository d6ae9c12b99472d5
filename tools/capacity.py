"""The capacity table: fits each measure of build/bench.jsonl against the node count and
extrapolates it to the target size. Writes the table between the markers in
docs/CAPACITY.md."""

import json
import os
import sys

from bench import LINES
from harness import ROOT

PAGE = os.path.join(ROOT, "docs", "CAPACITY.md")
BEGIN, END = "<!-- capacity:begin -->", "<!-- capacity:end -->"
TARGET_NODES = 1900
# Limits at the target size; see docs/design.md sections 1 and 15.
LIMITS = {"convergence_ms": 3000, "control_bytes_per_node_s": 19000, "node_rss_mb": 256,
          "node_cpu_percent": 4.5, "return_storm_ms": None, "dead_host_removed_ms": 2000,
          "heal_ms": 3000, "platform_calls_per_change": 2000,
          "platform_waiting_watches": 2000}


def fit(points):
    """Least squares fit: (value at 0 nodes, slope per node)."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope


def table(lines):
    rows = ["| measure (p99) | variant | nodes measured | at the largest | slope a node | "
            f"fit at {TARGET_NODES} nodes | limit | inside |",
            "| --- | --- | --- | --- | --- | --- | --- | --- |"]
    for measure, limit in LIMITS.items():
        for variant in ("real", "naive"):
            chosen = sorted((line["nodes"], line["p99"], line["unit"], line["revision"])
                            for line in lines if line["measure"] == measure
                            and line["variant"] == variant)
            points = [(nodes, value) for nodes, value, _, _ in chosen]
            if len(points) < 2:
                continue
            base, slope = fit(points)
            value = base + slope * TARGET_NODES
            inside = "-" if limit is None else "yes" if value <= limit else "no"
            rows.append(
                f"| {measure} ({chosen[0][2]}) | {variant} | "
                f"{', '.join(str(nodes) for nodes, _ in points)} | {points[-1][1]:g} | "
                f"{slope:.4g} | {value:.4g} | {limit or '-'} | {inside} |")
    return rows


def main():
    if not os.path.exists(LINES):
        print("capacity: run make bench first", file=sys.stderr)
        return 1
    with open(LINES, encoding="utf-8") as file:
        lines = [json.loads(line) for line in file]
    rows = table(lines)
    revisions = sorted({line["revision"] for line in lines})
    text = "\n".join([*rows, "", "Straight lines fitted to p99 by least squares, revision "
                      f"{', '.join(revisions)}. Values beyond the largest node count "
                      "measured are extrapolated, not measured."])
    print(text)
    if os.path.exists(PAGE):
        with open(PAGE, encoding="utf-8") as file:
            page = file.read()
        if BEGIN in page and END in page:
            head, tail = page.split(BEGIN, 1)[0], page.split(END, 1)[1]
            with open(PAGE, "w", encoding="utf-8") as file:
                file.write(f"{head}{BEGIN}\n{text}\n{END}{tail}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
