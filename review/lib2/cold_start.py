"""The check of KNOWN-RED 19; not a case of the review.

A server crashes, starts again under its id and is cold; its first heartbeat arrives late.

Its node goes on sending at the full rate, as if the same process had come back warm. The stand-in
crashes at twice the rate that it tolerates while cold, as PROTOCOL.md says that a server does at a
rate well above it. Checked: FAILBACK, the requests that a cold server gets in any one second.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

from harness import (ATTEMPT, BOUNDS, BUDGET, CONTROL, HOST, OUTBOUND,  # noqa: E402
                     configuration, read_message, run_case, status_of)


COLD_PER_S = 31.0
COLD_START_S = 3.0
COLD_SLOWER = 2.0
BOUND = COLD_PER_S * BOUNDS["coldLoadFactor"] + BOUNDS["coldSlack"]
# "Crashes at a rate well above that".
CRASH_PER_S = 2 * COLD_PER_S
DOWN_S = 2.0
# "A heartbeat may arrive seconds late".
FIRST_HEARTBEAT_LATE_S = 1.5
WORK_S, SLOTS = 0.09, 12
# Requests a second in all; three servers run 400, two 267.
RATE = 340
DURATION_S = 16.0


class Client:
    """A client beside a node that keeps its connection for many requests."""

    def __init__(self, deployment, machine):
        self.deployment, self.machine = deployment, machine
        self._reader = self._writer = None

    async def request(self, method, target, budget_ms, attempt):
        """Sends a request without a body, or with one byte. Returns the status, or None."""

        async def exchange():
            if self._writer is None or self._reader.at_eof():
                self.close()
                self._reader, self._writer = await asyncio.open_connection(
                    self.machine.address, OUTBOUND)
            body = b"" if method == "GET" else b"x"
            length = "" if method == "GET" else "Content-Length: 1\r\n"
            self._writer.write(f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT}: {attempt}"
                               f"\r\n{BUDGET}: {budget_ms}\r\n{length}\r\n".encode() + body)
            answer = await read_message(self._reader)
            if answer is None:
                raise ConnectionError("closed without an answer")
            if answer.header("connection", "").lower() == "close":
                self.close()
            return status_of(answer)

        try:
            return await asyncio.wait_for(exchange(), budget_ms / 1000 + 0.5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return None

    def close(self):
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def case(deployment, trouble):
    machines = [deployment.add_machine(f"sidecar-{zone}-1", zone, "alpha")
                for zone in deployment.zones]
    await deployment.start(configuration(
        7, [("r-view", "safe", "/view/", "alpha", 1.2, 2),
            ("r-pay", "unsafe", "/pay/", "alpha", 1.2, 2)], ["alpha"]),
        work_s=WORK_S, slots=SLOTS)
    server = machines[0].server
    started = []
    crashes = []
    lost = []
    ends = asyncio.Event()
    sent = {}

    async def client(machine, number, clients):
        connection = Client(deployment, machine)
        method, target = ("GET", "/view/1") if number % 2 else ("POST", "/pay/1")
        next_at = time.monotonic() + number / clients * clients / RATE
        while not ends.is_set():
            attempt = deployment.next_id()
            sent[attempt] = time.monotonic()
            status = await connection.request(method, target, 1200, attempt)
            if status in (None, 502, 504):
                lost.append((time.monotonic(), attempt, method, status))
                deployment.note(f"client at {machine.name}: {attempt} {method} -> {status}")
            next_at = max(next_at + clients / RATE, time.monotonic())
            await asyncio.sleep(next_at - time.monotonic())
        connection.close()

    count = 120
    clients = [asyncio.ensure_future(client(machines[number % 3], number, count))
               for number in range(count)]
    await asyncio.sleep(4.0)

    def cold_left(at):
        return max(0.0, round(started[-1] + COLD_START_S - at, 3)) if started else 0.0

    usual = server.announcement

    def announcement():
        document = usual()
        document["coldLeftS"] = cold_left(time.monotonic())
        return document

    server.announcement = announcement

    async def warm_up():
        while True:
            server.work_s = WORK_S * (COLD_SLOWER if cold_left(time.monotonic()) else 1.0)
            await asyncio.sleep(0.02)

    async def crash(why):
        crashes.append(time.monotonic())
        deployment.note(f"server {server.instance}: crashes ({why}), {server.running} requests "
                        f"at work")
        server.stop_heartbeats()
        await server.close()

    async def start_again():
        server.born, server.sequence = int(time.time() * 1000), 0
        started.append(time.monotonic())
        await server.open()
        first = server.announcement_bytes("PUT", server.announcement())
        deployment.note(f"server {server.instance}: starts again, cold; its first heartbeat will "
                        f"arrive {FIRST_HEARTBEAT_LATE_S} s late")
        # It crashes at a rate well above what it tolerates.
        while time.monotonic() < started[-1] + FIRST_HEARTBEAT_LATE_S:
            now = time.monotonic()
            recent = sum(1 for run in server.runs[-200:] if run["at"] >= max(now - 1, started[-1]))
            if recent > CRASH_PER_S:
                await crash(f"{recent} requests in a second while cold")
                return False
            await asyncio.sleep(0.005)
        reader, writer = await asyncio.open_connection(server.address, CONTROL)
        writer.write(first)
        await asyncio.wait_for(reader.readline(), 2.0)
        writer.close()
        server._beats = asyncio.ensure_future(server._send_heartbeats())
        return True

    warming = asyncio.ensure_future(warm_up())
    if trouble:
        end = time.monotonic() + DURATION_S
        await crash("the disruption")
        await asyncio.sleep(DOWN_S)
        while not await start_again() and time.monotonic() < end - DOWN_S - COLD_START_S:
            await asyncio.sleep(DOWN_S)
        await asyncio.sleep(max(1.0, end - time.monotonic()))
    else:
        await asyncio.sleep(DURATION_S)
    warming.cancel()
    ends.set()
    await asyncio.gather(*clients)

    broken = []
    for number, at in enumerate(started):
        until = min([at + COLD_START_S] + [c for c in crashes if c > at])
        # When each request was sent and arrived; a second counts those that did both inside it.
        cold = sorted((sent[run["id"]], run["at"]) for run in server.runs if at <= run["at"] < until)
        most = max((sum(1 for sent_at, arrived in cold
                        if begin <= sent_at and arrived < begin + 1.0)
                    for begin, _ in cold), default=0)
        text = (f"the cold server {server.instance} got up to {most} requests in one second after "
                f"its start at {deployment.time_of(at)} (bound {BOUND})")
        deployment.note(text)
        if most > BOUND:
            broken.append("FAILBACK: " + text)
    unsafe = [entry for entry in lost if entry[2] == "POST"]
    deployment.note(f"{len(server.runs)} requests ran at {server.instance}; {len(crashes)} crashes; "
                    f"{len(lost)} requests ended with 502, 504 or no answer, {len(unsafe)} of them "
                    f"unsafe")
    return broken


run_case(FOLDER, case)
