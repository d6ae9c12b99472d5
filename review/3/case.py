"""
A faulty instance spoils one byte of some answers, within the digits of Content-Length, so
that these bytes are no answer in the protocol. The node passes them on as a success that
looks complete, cut short at the digits before the spoiled one.
"""

import asyncio
import secrets
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
from mesh import (BROKEN, HELD, HOST, Instance, Mesh, case_run,  # noqa: E402
                  client_request, config_make, read_body, route)

LEAD_S = 4.0
REQUESTS = 400
SPOILED_EACH = 50  # one answer in so many is spoiled: 0.02 of them
BODY_BYTES = 1500
GAP_S = 0.03


class SpoilingInstance(Instance):
    """Spoils some of its answers."""

    faulty = False

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.bodies = {}  # attempt: (body that was sent, spoiled)

    async def handle(self, request):
        await read_body(request.reader, request.head)
        self.run_begin(request)
        await asyncio.sleep(self.work_s)
        body = secrets.token_hex(BODY_BYTES // 2).encode()
        spoiled = self.faulty and len(self.runs) % SPOILED_EACH == 0
        length = f"{len(body)}"
        if spoiled:
            length = length[:2] + "o" + length[3:]
        self.bodies[request.attempt] = (body, spoiled)
        self.record.write(f"instance {self.name}", f"answers attempt {request.attempt}: 200,"
                          f" Content-Length: {length}, {len(body)} bytes of body"
                          + (", spoiled" if spoiled else ""))
        request.writer.write(
            f"HTTP/1.1 200 OK\r\nX-Masticpitch-Attempt-Id: {request.attempt}\r\n"
            f"X-Masticpitch-Server-Stamp: {secrets.token_hex(12)}\r\n"
            f"Content-Length: {length}\r\n\r\n".encode() + body)
        await request.writer.drain()


async def case(record, trouble):
    mesh = Mesh(record)
    try:
        for zone, service in (("cebu-a", "huvo11a"), ("cebu-b", "huvo11a"),
                              ("iloilo-c", "wuno96b")):
            mesh.add(zone, service, SpoilingInstance(record, f"i-{zone}", service, zone,
                                                     None))
        # 0.35 of the instances are faulty: one of three.
        mesh.machines[0].instance.faulty = trouble
        await mesh.start(config_make(
            7, {"r-1": route("/lohu930/", "safe", "huvo11a", 800, 400),
                "r-2": route("/pufi791/", "unsafe", "huvo11a", 1000, 500),
                "r-3": route("/pule252/", "download", "wuno96b", 800, 400)},
            ["huvo11a", "wuno96b"]))
        await asyncio.sleep(LEAD_S)
        tasks = []
        for number in range(REQUESTS):
            machine = mesh.machines[number % len(mesh.machines)]
            prefix, method = (("/lohu930/", "GET"), ("/pufi791/", "POST"))[number // 3 % 2]
            tasks.append(asyncio.create_task(client_request(
                record, machine.at("outbound"), method, HOST, f"{prefix}{number:x}", 2000)))
            await asyncio.sleep(GAP_S)
        answers = await asyncio.gather(*tasks)
        wrong = spoiled = 0
        for answer in answers:
            sent = [machine.instance.bodies[answer.attempt] for machine in mesh.machines
                    if answer.attempt in machine.instance.bodies]
            spoiled += any(item[1] for item in sent)
            if answer.status == 200 and answer.whole and \
                    answer.body not in [body for body, _ in sent]:
                wrong += 1
                record.write("check", f"MIXED: attempt {answer.attempt} got a success that "
                             f"looks complete with {len(answer.body)} bytes; the instance "
                             f"sent {len(sent[-1][0])}")
        record.write("check", f"{len(answers)} requests, {spoiled} with a spoiled answer, "
                     f"{wrong} successes with a body that isn't the instance's whole body")
        return BROKEN if wrong else HELD
    finally:
        await mesh.stop()


case_run(FOLDER, case)
