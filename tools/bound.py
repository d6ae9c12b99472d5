#!/usr/bin/env python3
"""Demand of a deployment's days on slots and links, and an upper bound of the credit.

usage: tools/bound.py SITE

Reads a site file of the users' bench. For each day it prints, for each service, the
demanded work as a share of its slots, and the long answers as a share of its hosts' links,
both without faults; then an upper bound of the credit: where demand exceeds the slots of a
service, the requests with the least credit for their time there are left out first. The
speeds of a service are taken as factors of the work's time, assigned to its instances in
turn. Bursts, faults, restarts and waiting times are not included.
"""
import sys
import tomllib

LONG_BYTES = 24 * 1024  # shorter answers are left out of the links' load
BITS = 8


def services_of(site):
    """{name: (slots, link bytes a second, instances)}."""
    found = {}
    for service in site["services"]:
        slots = link = count = 0.0
        for machines in site["machines"]:
            if machines.get("app") != service["name"]:
                continue
            for _ in range(machines["count"]):
                slots += service["slots"] / service["speeds"][int(count) % len(service["speeds"])]
                link += machines["link_mbps"] * 1e6 / BITS
                count += 1
        found[service["name"]] = (slots, link, count)
    return found


def rates_of(day):
    """Requests a second by kind."""
    rates = {}
    for part in day["traffic"]:
        total = sum(part["mix"].values())
        for kind, share in part["mix"].items():
            rates[kind] = rates.get(kind, 0.0) + part["per_s"] * share / total
    return rates


def work_of(kind, kinds):
    """{service: slot seconds} of one request with its calls."""
    nested = [(kinds[call["class"]], call["times"] * call["share"])
              for call in kind.get("calls", [])]
    longest = max((call["work_ms"]["mean"] * min(times, 1.0) for call, times in nested),
                  default=0.0)
    work = {kind["service"]: (kind["work_ms"]["mean"] + longest) / 1000}
    for call, times in nested:
        work[call["service"]] = work.get(call["service"], 0.0) + \
            times * call["work_ms"]["mean"] / 1000
    return work


def bound_of(rates, kinds, works, services):
    """Upper bound, by slots, of the share of the credit of all requests."""
    served = dict(rates)
    for name, (slots, _, _) in services.items():
        def load():
            return sum(served[kind] * works[kind].get(name, 0.0) for kind in served)
        users = sorted((kind for kind in served if works[kind].get(name)),
                       key=lambda kind: kinds[kind]["worth"] / works[kind][name])
        for kind in users:
            over = load() - slots
            if over > 0:
                served[kind] -= min(served[kind], over / works[kind][name])
    owed = sum(rates[kind] * kinds[kind]["worth"] for kind in rates)
    return sum(served[kind] * kinds[kind]["worth"] for kind in rates) / owed


def main():
    if len(sys.argv) != 2:
        print(__doc__.split("\n\n")[1], file=sys.stderr)
        return 2
    with open(sys.argv[1], "rb") as file:
        site = tomllib.load(file)
    kinds = {kind["name"]: kind for kind in site["classes"]}
    services = services_of(site)
    machines = sum(count for _, _, count in services.values())
    for day in site["day"]:
        rates = rates_of(day)
        works = {kind: work_of(kinds[kind], kinds) for kind in rates}
        parts = []
        for name, (slots, link, count) in services.items():
            work = sum(rates[kind] * works[kind].get(name, 0.0) for kind in rates)
            sent = sum(rates[kind] * kinds[kind]["resp_bytes"]["mean"] for kind in rates
                       if kinds[kind]["service"] == name
                       and kinds[kind]["resp_bytes"]["mean"] > LONG_BYTES)
            # Requests that enter at the instance's own host use no link.
            parts.append(f"{name} slots {work / slots:.2f} link "
                         f"{sent * (1 - count / machines) / link:.2f}")
        print(f"{day['name']:<12} {' | '.join(parts)} | bound "
              f"{bound_of(rates, kinds, works, services):.2f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
