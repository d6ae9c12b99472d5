#!/usr/bin/env python3
"""Reads the logs of all nodes of a deployment, as they write them or with a prefix a line,
and prints the groups of nodes that know each other at the end. Exit status 1 if there is
more than one."""

import json
import sys


def members_read(lines):
    """For each node, the members that it last saw alive."""
    known = {}
    for line in lines:
        start = line.find("{")
        if start < 0 or '"message":"' not in line:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            continue  # a line that was cut
        node = event.get("node")
        if event["message"] == "node started":
            known[node] = set()
        elif event["message"] == "member changed" and node in known:
            if event["state"] == "down":
                known[node].discard(event["member"])
            else:
                known[node].add(event["member"])
    return known


def groups_of(known):
    """The nodes, joined by what either of two knows of the other."""
    groups = []
    for node, members in known.items():
        group = {node} | (members & known.keys())
        for other in [other for other in groups if other & group]:
            groups.remove(other)
            group |= other
        groups.append(group)
    return sorted(groups, key=len, reverse=True)


def main():
    known = members_read(sys.stdin)
    groups = groups_of(known)
    complete = sum(len(members | {node}) >= len(known) for node, members in known.items())
    print(f"{len(known)} nodes, {len(groups)} groups of "
          f"{', '.join(str(len(group)) for group in groups)}; {complete} know all")
    return 0 if len(groups) == 1 else 1


if __name__ == "__main__":
    sys.exit(main())
