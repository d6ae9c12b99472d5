#!/usr/bin/env python3
"""Splits the worth of each day in a journal entry into its parts and prices.

usage: tools/worth.py [--least SHARE] [--outliers] ENTRY...

Reads entries of journal/ as the users' bench writes them. For each day it prints
the worth, the loss of each part of the goal against its full weight, each price,
and the shares by kind of request and by availability zone, greatest loss first.
With --outliers it prints only the days whose worth is far below, or whose number of
platform calls far above, the median of their kind.
"""
import argparse
import json
import statistics
import sys

LEAST_SHARE = 0.004  # of the worth; smaller losses are left out of the table
LOW_WORTH = 0.1  # below the median
MANY_CALLS = 2.0  # times the median


def losses(day, least):
    rows = [(weight * (1 - share), f"part {name} at {share:.3f}")
            for name, weight, share in day.get("parts") or []]
    rows += [(price, f"price {name} ({amount:g})")
             for name, amount, price in day.get("prices") or []]
    return sorted((row for row in rows if row[0] >= least), reverse=True)


def shares(values):
    return " ".join("-" if value is None else f"{value:.2f}" for value in values or [])


def day_print(day, least):
    broken = " ".join(f"{name}:{count}" for name, count in (day.get("rules") or {}).items())
    print(f"{day['name']:<12} slot {day['slot']:<8} worth {day['G']:.3f} of {day['top']:.3f} "
          f"score {day['score']:.3f} gate {'passed' if day['gate'] else 'FAILED'} "
          f"refused {day['refused']:.3f} failed {day['failed']:.3f} "
          f"broken {broken or '-'}{' fault ' + str(day['fault']) if day['fault'] else ''}")
    print(f"    kinds {shares(day.get('by_class'))} | zones {shares(day.get('by_zone'))}")
    for loss, name in losses(day, least):
        print(f"    {loss:6.3f}  {name}")


def platform_calls(day):
    return sum(amount for name, amount, _ in day.get("prices") or [] if "cloud calls" in name)


def day_kind(day):
    """The day file, since each has its own traffic, or the slot of a day of the site."""
    return day["name"].split(" ")[0] if ".toml" in day["name"] else day["slot"]


def outliers_print(days):
    for kind in sorted({day_kind(day) for day in days}):
        same = [day for day in days if day_kind(day) == kind]
        worth = statistics.median(day["G"] for day in same)
        calls = statistics.median(platform_calls(day) for day in same)
        for day in same:
            if day["G"] < worth - LOW_WORTH or platform_calls(day) > calls * MANY_CALLS:
                print(f"outlier {day['name']} kind {kind} worth {day['G']:.3f} of a median "
                      f"{worth:.3f}, platform calls {platform_calls(day):.0f} of {calls:.0f}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--least", type=float, default=LEAST_SHARE,
                        help="smallest loss shown, share of the worth")
    parser.add_argument("--outliers", action="store_true")
    parser.add_argument("entries", nargs="+")
    arguments = parser.parse_args()
    for path in arguments.entries:
        try:
            with open(path, encoding="utf-8") as file:
                entry = json.load(file)
        except (OSError, ValueError) as error:
            print(f"{path}: {error}", file=sys.stderr)
            return 1
        days = entry.get("days") or []
        if arguments.outliers:
            outliers_print(days)
            continue
        print(f"{entry.get('site')} {entry.get('cmd')} {entry.get('head', '')[:8]} "
              f"{entry.get('id')}: {entry.get('why')}")
        for day in days:
            day_print(day, arguments.least)
        trouble = [day["G"] for day in days if day["slot"] != "quiet"]
        if trouble:
            print(f"mean worth of days with trouble: {sum(trouble) / len(trouble):.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
