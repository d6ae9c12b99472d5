#!/usr/bin/env python3
"""Splits the worth of each day in a journal entry into its parts and prices.

usage: tools/worth.py [--least SHARE] ENTRY...

Reads entries of journal/ as the users' bench writes them. For each day it prints
the worth, the loss of each part of the goal against its full weight, each price,
and the shares by kind of request and by availability zone, greatest loss first.
"""
import argparse
import json
import sys

LEAST_SHARE = 0.004  # of the worth; smaller losses are left out of the table


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


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--least", type=float, default=LEAST_SHARE,
                        help="smallest loss shown, share of the worth")
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
