"""The benchmark: measures the real program and the naive variant in one run.

make bench [ONLY=measure[,measure]] [NODES=n[,n]] [SEED=s] [CHANGES=n]
Each result is a line of build/bench.jsonl and of the output; build/bench.svg shows them.
"""

import json
import math
import os
import subprocess
import sys

import bench_control
import bench_faults
import bench_traffic
from harness import BUILD, ROOT, HarnessError, install_signals

NODE_COUNTS = [10, 50, 100, 200]
LINES = os.path.join(BUILD, "bench.jsonl")
CHART = os.path.join(BUILD, "bench.svg")
VARIANTS = {
    "real": {},
    "naive": {"configuration.source": "watch", "routing.policy": "naive"},
}
# Each group is measured on one fleet: (function, measures that it returns).
GROUPS = [
    (bench_control.measure_changes, (
        "convergence_ms", "platform_calls_per_change", "platform_waiting_watches",
        "control_bytes_per_node_s", "node_rss_mb", "node_cpu_percent")),
    (bench_control.measure_return_storm, ("return_storm_ms",)),
    (bench_control.measure_dead_host, ("dead_host_removed_ms",)),
    (bench_control.measure_heal, ("heal_ms",)),
    (bench_traffic.measure_added_latency, ("added_latency_ms",)),
    (bench_traffic.measure_overload, ("goodput_ratio", "internal_p99_ratio")),
    (bench_traffic.measure_quota, ("quota_overshoot_ratio", "quota_served_ratio")),
    (bench_traffic.measure_leaving, ("leaving_no_new_work_ms",)),
    (bench_faults.measure_edits, ("edit_convergence_ms",)),
    (bench_faults.measure_planned_stops, ("planned_stop_broken",)),
    (bench_faults.measure_crashes, ("crash_deaths",)),
    (bench_faults.measure_uploads, ("upload_rss_mb", "upload_rss_before_mb")),
    (bench_faults.measure_cpu, ("cpu_us_per_call",)),
]
# Default node counts by a group's first measure. Groups with traffic also run a backend
# server on each host and are measured at one size only.
GROUP_NODES = {"added_latency_ms": [20], "goodput_ratio": [4],
               "quota_overshoot_ratio": [8],
               "leaving_no_new_work_ms": [20], "edit_convergence_ms": [10, 50],
               "planned_stop_broken": [8], "crash_deaths": [8]}
# One node as entry and one as gate; NODES does not apply.
FIXED_NODES = {"upload_rss_mb": [2], "cpu_us_per_call": [2]}
UNITS = {"control_bytes_per_node_s": "B/s", "platform_calls_per_change": "calls",
         "platform_waiting_watches": "watches", "goodput_ratio": "ratio",
         "internal_p99_ratio": "ratio", "quota_overshoot_ratio": "ratio",
         "quota_served_ratio": "ratio", "node_rss_mb": "MB", "node_cpu_percent": "%",
         "planned_stop_broken": "requests", "crash_deaths": "deaths",
         "upload_rss_mb": "MB", "upload_rss_before_mb": "MB", "cpu_us_per_call": "us"}


def percentile(values, share):
    """Percentile by nearest rank."""
    values = sorted(values)
    return values[max(0, math.ceil(share * len(values)) - 1)]


def revision():
    found = subprocess.run(["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, text=True,
                           capture_output=True, check=False)
    return found.stdout.strip() or "unknown"


def line_of(measure, variant, nodes, values, seed, code_revision):
    if isinstance(values, list):
        values = {"p50": percentile(values, 0.5), "p99": percentile(values, 0.99),
                  "max": max(values)}
    return {"measure": measure, "variant": variant, "nodes": nodes,
            **{name: round(value, 3) for name, value in values.items()}, "unit": UNITS.get(measure, "ms"),
            "seed": seed, "revision": code_revision}


def lines_keep(new):
    """Merges lines into the file; they replace lines with the same key. Returns all."""
    def key(line):
        return line["measure"], line["variant"], line["nodes"]
    lines = {}
    if os.path.exists(LINES):
        with open(LINES, encoding="utf-8") as file:
            lines = {key(json.loads(line)): json.loads(line) for line in file}
    lines.update({key(line): line for line in new})
    with open(LINES, "w", encoding="utf-8") as file:
        for line in sorted(lines.values(), key=key):
            file.write(json.dumps(line) + "\n")
    return list(lines.values())


def draw(lines):
    """Draws a plot for each measure, p99 and p50 against the node count, as one SVG file."""
    measures = sorted({line["measure"] for line in lines})
    columns = 3
    rows = math.ceil(len(measures) / columns)
    script = [f"set terminal svg size {columns * 420},{rows * 300} background '#ffffff'",
              f"set output '{CHART}'", f"set multiplot layout {rows},{columns}",
              "set key top left", "set grid", "set xlabel 'nodes'", "set yrange [0:*]",
              "set xrange [0:210]"]
    for measure in measures:
        blocks, plots = [], []
        unit = UNITS.get(measure, "ms")
        for index, variant in enumerate(VARIANTS):
            points = sorted((line["nodes"], line["p50"], line["p99"]) for line in lines
                            if line["measure"] == measure and line["variant"] == variant)
            if not points:
                continue
            name = f"$d{len(blocks)}"
            blocks.append(f"{name} << EOD\n" + "\n".join(
                " ".join(map(str, point)) for point in points) + "\nEOD")
            plots += [f"{name} using 1:3 with linespoints lc {index + 1} "
                      f"title '{variant} p99'",
                      f"{name} using 1:2 with linespoints lc {index + 1} dt 2 "
                      f"title '{variant} p50'"]
        title = measure.replace("_", " ")
        script += blocks + [f"set title '{title}'", f"set ylabel '{unit}'",
                            "plot " + ", ".join(plots)]
    subprocess.run(["gnuplot"], input="\n".join(script) + "\n", text=True, check=True)


def chosen(measures, only):
    return not only or any(measure in only for measure in measures)


def main():
    install_signals()
    only = [name for name in os.environ.get("ONLY", "").split(",") if name]
    counts = [int(text) for text in os.environ.get("NODES", "").split(",") if text]
    seed = int(os.environ.get("SEED", "1"))
    known = [measure for _, measures in GROUPS for measure in measures]
    if unknown := [name for name in only if name not in known]:
        print(f"bench: unknown measure {unknown[0]}; known: {', '.join(known)}",
              file=sys.stderr)
        return 2
    code_revision = revision()
    new, failed = [], 0
    for function, measures in GROUPS:
        if not chosen(measures, only):
            continue
        sizes = counts or GROUP_NODES.get(measures[0], NODE_COUNTS)
        for nodes in FIXED_NODES.get(measures[0], sizes):
            for variant, settings in VARIANTS.items():
                try:
                    found = function(nodes, settings, seed)
                except HarnessError as error:
                    print(f"bench: {measures[0]}, {variant}, {nodes} nodes: {error}",
                          file=sys.stderr)
                    failed += 1
                    continue
                for measure, values in found.items():
                    if not values or (only and measure not in only):
                        continue
                    line = line_of(measure, variant, nodes, values, seed, code_revision)
                    print(json.dumps(line), flush=True)
                    new.append(line)
    if new:
        draw(lines_keep(new))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
