"""
An instance leaves with a deregistration, which its node acknowledges, and says so in its
answers from then on. The node is killed and started again. A heartbeat that the instance
sent before it deregistered arrives late, at the new process. The node takes the instance
for a new one and sends it work, also from machines that have passed on its answers.
"""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
from mesh import (BOUNDS, BROKEN, HELD, HOST, Instance, Mesh, case_run,  # noqa: E402
                  client_request, config_make, http_call, route)

LEAD_S = 4.0
LATE_S = 5.5        # the heartbeat is this late
LEAVE_S = 1.2       # from its sending to the deregistration
KILL_S = 0.3        # from the acknowledgement to the kill
DOWN_S = 0.5        # the platform starts a killed process again after a short delay
SERVES_S = 14.0     # how long the instance serves after the acknowledgement
GAP_S = 0.03


class LeavingInstance(Instance):
    """Says in all its answers that it leaves, once it has deregistered."""

    leaving = False

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.last_words = {}  # attempt: when it was told that the instance leaves

    async def handle(self, request):
        self.run_begin(request)
        await asyncio.sleep(self.work_s)
        if self.leaving:
            self.last_words[request.attempt] = self.record.now()
        await self.reply(request, 200, f"{self.name} {request.path}".encode(),
                         "Server-Leaving: 1\r\n" if self.leaving else "")


async def traffic(record, mesh, sent, tasks, stop):
    number = 0
    while not stop.is_set():
        machine = mesh.machines[number % len(mesh.machines)]
        # The clients of a machine get no new work while its node isn't ready.
        if machine.process.returncode is None:
            attempt = f"{0x9c41d07be2a30000 + number:016x}"
            sent[attempt] = (record.now(), machine)
            tasks.append(asyncio.create_task(client_request(
                record, machine.at("outbound"), "GET", HOST, f"/lohu930/{number:x}", 1500,
                attempt=attempt)))
        number += 1
        await asyncio.sleep(GAP_S)


async def case(record, trouble):
    mesh = Mesh(record)
    stop = asyncio.Event()
    tasks, sent = [], {}
    try:
        for zone, service in (("cebu-a", "huvo11a"), ("cebu-b", "huvo11a"),
                              ("iloilo-c", "wuno96b")):
            mesh.add(zone, service, LeavingInstance(record, f"i-{zone}", service, zone, None,
                                                    work_s=0.3))
        await mesh.start(config_make(
            7, {"r-1": route("/lohu930/", "safe", "huvo11a", 800, 400),
                "r-2": route("/pule252/", "download", "wuno96b", 800, 400)},
            ["huvo11a", "wuno96b"]))
        await asyncio.sleep(LEAD_S)
        sender = asyncio.create_task(traffic(record, mesh, sent, tasks, stop))
        await asyncio.sleep(2)
        machine, leaving = mesh.machines[0], mesh.machines[0].instance
        late = leaving.heartbeat()
        record.write(f"instance {leaving.name}", f"sends heartbeat seq {late['status']['seq']}"
                     f" state ready, which will be {LATE_S} s late")
        await asyncio.sleep(LEAVE_S)
        leaving.beats.cancel()
        leaving.leaving = True
        status, _ = await http_call(machine.at("control"), "POST",
                                    f"/-/Instances.Deregister/{leaving.name}",
                                    {"born": leaving.born}, timeout=1.0)
        acknowledged = record.now()
        record.write(f"instance {leaving.name}", f"deregisters: answer {status}")
        await asyncio.sleep(KILL_S)
        restarted = None
        if trouble:
            await machine.signal(signal.SIGKILL)
            await asyncio.sleep(DOWN_S)
            await machine.start()
            restarted = machine.started_at
        await asyncio.sleep(max(0, LATE_S - LEAVE_S - KILL_S - (DOWN_S if trouble else 0)))
        await leaving.beat_send(late, f", {LATE_S} s late")
        await asyncio.sleep(max(0, acknowledged + SERVES_S - record.now()))
        stop.set()
        await sender
        await asyncio.gather(*tasks)
        record.write(f"instance {leaving.name}", "exits")
        drain = BOUNDS["drainMs"] / 1000
        touch = BOUNDS["stableMs"] / 1000 + (restarted or 0)
        acked = [run for run in leaving.runs if run[0] > max(acknowledged + drain, touch)]
        for run in acked:
            record.write("check", f"DRAIN: attempt {run[1]} reached {leaving.name} "
                         f"{run[0] - acknowledged:.3f} s after the acknowledgement, sent on "
                         f"by a node that has run for {run[0] - (restarted or 0):.3f} s")
        told = {}  # when a machine, but the one that was restarted, had passed such an answer
        for attempt, seconds in leaving.last_words.items():
            at = sent[attempt][1]
            if at is not machine:
                told[at] = min(told.get(at, seconds), seconds)
        passed = [run for run in leaving.runs if sent[run[1]][1] in told
                  and sent[run[1]][0] > told[sent[run[1]][1]] + drain]
        for run in passed:
            at = sent[run[1]][1]
            record.write("check", f"DRAIN: attempt {run[1]}, sent {sent[run[1]][0] - told[at]:.3f}"
                         f" s after {at.name} had passed on an answer with Server-Leaving, "
                         f"reached {leaving.name} from there")
        wrong = acked + passed
        record.write("check", f"{len(leaving.runs)} runs at {leaving.name}; {len(acked)} later"
                     " than drainMs after the acknowledgement and by machines in touch, "
                     f"{len(passed)} later than drainMs after Server-Leaving was passed on")
        return BROKEN if wrong else HELD
    finally:
        stop.set()
        await mesh.stop()


case_run(FOLDER, case)
