#!/usr/bin/env python3
"""A small mesh for trying out the program: one platform stand-in, four hosts in two
availability zones with the services katalogo and pamigay. Prints the environment for a
second terminal and runs until Ctrl-C, for at most one hour."""

import signal
import sys
import time

from harness import TOKEN, Fleet

RUN_S_MAX = 3600


def main():
    with Fleet(zones=2, zone_names=["cebu-a", "cebu-b"]) as fleet:
        for zone in (1, 2):
            for service in ("katalogo", "pamigay"):
                fleet.host_add(zone, service, slots=10)
        host = fleet.hosts[0]
        print(f"export MASTICPITCH_PLATFORM=http://{fleet.platform_address}")
        print(f"export MASTICPITCH_NODE=http://{host.operators}")
        print(f"export MASTICPITCH_TOKEN={TOKEN}")
        print("export MASTICPITCH_OPERATOR=ana")
        print(f"export CALLERS=http://{host.callers}")
        print("# Ctrl-C ends everything; kill -TERM the process ids below to make nodes leave.")
        for each in fleet.hosts:
            print(f"# node {each.name}: process {each.node.popen.pid}", flush=True)
        end = time.monotonic() + RUN_S_MAX
        while time.monotonic() < end:
            time.sleep(1)
    return 0


if __name__ == "__main__":
    signal.signal(signal.SIGINT, lambda *_: sys.exit(0))
    sys.exit(main())
