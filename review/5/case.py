"""
A faulty instance answers some requests with bytes without end, in the trailer section of a
chunked body. Its node keeps every line of it until the request's deadline, exceeds the
machine's memory and is killed by the platform. Requests that its clients sent on kept
connections, and that it had passed on to sound instances, end without an answer.
"""

import asyncio
import contextlib
import random
import secrets
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
from mesh import (BROKEN, HELD, HOST, Instance, Mesh, case_run,  # noqa: E402
                  client_request, config_make, read_body, read_head, route)

LEAD_S = 4.0
SECONDS = 20
MEMORY_MB = 110          # limits.memoryMb of campanario-mesh
WATCH_S = 0.02           # how often the platform looks at a process's memory
DOWN_S = 0.5             # the platform starts an ended process again after a short delay
ENDLESS_EACH = 33        # one answer in so many has no end: 0.03 of them
KEPT_CLIENTS = 12
WORK_S = 0.6             # of the requests on kept connections
LINES = b"X-Part: 0\r\n" * 2000


class EndlessInstance(Instance):
    """Some of its answers go on until the caller closes."""

    faulty = False

    async def handle(self, request):
        if not (self.faulty and (len(self.runs) + 1) % ENDLESS_EACH == 0):
            await super().handle(request)
            return
        await read_body(request.reader, request.head)
        self.run_begin(request)
        request.writer.write(
            f"HTTP/1.1 200 OK\r\nX-Masticpitch-Attempt-Id: {request.attempt}\r\n"
            f"X-Masticpitch-Server-Stamp: {secrets.token_hex(12)}\r\n"
            f"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n".encode())
        sent = 0
        try:
            while True:
                request.writer.write(LINES)
                await request.writer.drain()
                sent += len(LINES)
        finally:
            self.record.write(f"instance {self.name}", f"attempt {request.attempt}: answer "
                              f"without end, {sent} bytes until the caller closed")


def memory_mb(pid):
    with contextlib.suppress(OSError):
        for line in open(f"/proc/{pid}/status", encoding="utf-8"):
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0


async def platform_watch(record, machine, ends, stop):
    """Kills a process that exceeds the machine's memory, and starts it again."""
    while not stop.is_set():
        await asyncio.sleep(WATCH_S)
        used = memory_mb(machine.process.pid)
        if machine.process.returncode is None and used <= MEMORY_MB:
            continue
        record.write("platform", f"process of {machine.name} uses {used:.0f} MB of "
                     f"{MEMORY_MB} MB")
        if machine.process.returncode is None:
            await machine.signal(signal.SIGKILL)
        ends.append(record.now())
        await asyncio.sleep(DOWN_S)
        await machine.start()
        await machine.wait_ready()


async def kept_client(record, mesh, machine, number, outcome, end):
    """Sends one request after the other on a connection that it keeps."""
    ip, port = machine.at("outbound").rsplit(":", 1)
    reader = writer = None
    await asyncio.sleep(WORK_S * number / KEPT_CLIENTS)
    while record.now() < end:
        attempt = secrets.token_hex(8)
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(ip, int(port))
                used = 0
            writer.write((f"POST /pufi791/{number:x} HTTP/1.1\r\nHost: {HOST}\r\n"
                          f"X-Masticpitch-Attempt-Id: {attempt}\r\n"
                          f"X-Masticpitch-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n")
                         .encode())
            head = await asyncio.wait_for(read_head(reader), 4)
            if head is None:
                raise ConnectionResetError
            await read_body(reader, head)
            used += 1
            outcome[attempt] = (int(head.first.split()[1]), used)
            record.write("client", f"attempt {attempt} on connection {number} of "
                         f"{machine.name} got {outcome[attempt][0]}")
            if (head.get("connection") or "").lower() == "close":
                writer.close()
                writer = None
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            outcome.setdefault(attempt, (0, used if writer else 0))
            record.write("client", f"attempt {attempt} on connection {number} of "
                         f"{machine.name}, request {outcome[attempt][1] + 1} there, got no "
                         "answer: the connection ended")
            if writer:
                writer.close()
            writer = None
            await asyncio.sleep(0.2)
        await asyncio.sleep(random.uniform(0, WORK_S / 2))
    if writer:
        writer.close()


async def case(record, trouble):
    mesh = Mesh(record)
    stop = asyncio.Event()
    watches = []
    try:
        for zone, service in (("poblado", "huvo11a"), ("envigado", "huvo11a"),
                              ("bello", "wuno96b")):
            mesh.add(zone, service, EndlessInstance(
                record, f"i-{zone}", service, zone, None,
                work_s=WORK_S if service == "wuno96b" else 0.05))
        # 0.35 of the instances are faulty: one of three.
        bad = mesh.machines[0]
        sound = mesh.machines[2].instance
        sound.slots = 64
        bad.instance.faulty = trouble
        await mesh.start(config_make(
            7, {"r-1": route("/lohu930/", "safe", "huvo11a", 1500, 500),
                "r-2": route("/pufi791/", "unsafe", "wuno96b", 3000, 600)},
            ["huvo11a", "wuno96b"]))
        ends, outcome, tasks = [], {}, []
        watches = [asyncio.create_task(platform_watch(record, machine, ends, stop))
                   for machine in mesh.machines]
        await asyncio.sleep(LEAD_S)
        end = record.now() + SECONDS
        kept = [asyncio.create_task(kept_client(record, mesh, bad, n, outcome, end))
                for n in range(KEPT_CLIENTS)]
        number = 0
        while record.now() < end:
            machine = mesh.machines[number % len(mesh.machines)]
            if machine.process.returncode is None:
                tasks.append(asyncio.create_task(client_request(
                    record, machine.at("outbound"), "GET", HOST, f"/lohu930/{number:x}",
                    3000)))
            number += 1
            await asyncio.sleep(0.04)
        await asyncio.gather(*kept, *tasks)
        ran = {run[1] for run in sound.runs}
        lost = [attempt for attempt, (status, used) in outcome.items()
                if status == 0 and used > 0 and attempt in ran]
        for attempt in lost[:8]:
            record.write("check", f"LOST: attempt {attempt} on a kept connection of {bad.name}"
                         f" was passed on to {sound.name}, which is sound, and its "
                         "connection ended without an answer")
        record.write("check", f"{len(ends)} processes ended for memory; {len(outcome)} "
                     f"requests on kept connections of {bad.name}, {len(lost)} of them "
                     "passed on to a sound instance and ended without an answer")
        return BROKEN if len(lost) > 3 else HELD
    finally:
        stop.set()
        await asyncio.gather(*watches, return_exceptions=True)
        await mesh.stop()


case_run(FOLDER, case)
