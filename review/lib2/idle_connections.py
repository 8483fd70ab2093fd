"""The check of KNOWN-RED 18; not a case of the review.

Clients keep their connections after large requests; their node counts the bodies as buffered.

Each of the clients at one machine sends a request with a body, waits for the answer and uses the
connection again ten seconds later, which the configuration allows. Few requests are in progress at
a time. Other clients send requests without a body. Checked: Starved, whether a kind of request is
served less than a quarter as often as all requests.
With TROUBLE=0 the same requests are sent, each on a connection that is closed after its answer.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

from harness import (ATTEMPT, BUDGET, HOST, OUTBOUND, configuration, read_message,  # noqa: E402
                     run_case, status_of)

# maxBodyBytes of the configuration is 67108864, idleTimeoutS is 15.
BODY_BYTES = 7_900_000
PERIOD_S = 10.0
# All clients of the zone gw-a in the site at one machine; the zone has four. With 21 the rule holds.
UPLOADERS = 84
DURATION_S = 45.0
BUDGET_MS = 3000


class KeptConnection:
    """A client's connection, which it keeps or closes after each answer."""

    def __init__(self, machine, keeps):
        self.machine, self.keeps = machine, keeps
        self.reader = self.writer = None

    async def post(self, attempt, body):
        """Returns the status and the time (s) after which to retry, or None without an answer."""
        try:
            return await asyncio.wait_for(self._post(attempt, body), BUDGET_MS / 1000)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return None, 0.0

    async def _post(self, attempt, body):
        if self.writer is None or self.reader.at_eof():
            self.close()
            self.reader, self.writer = await asyncio.open_connection(self.machine.address, OUTBOUND)
        self.writer.write(f"POST /upload/1 HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT}: {attempt}\r\n"
                          f"{BUDGET}: {BUDGET_MS}\r\nContent-Length: {len(body)}\r\n\r\n".encode())
        try:
            self.writer.write(body)
            await self.writer.drain()
        except ConnectionError:
            # The node may have answered before it read the whole body.
            pass
        answer = await read_message(self.reader)
        if answer is None:
            raise ConnectionError("closed without an answer")
        if not self.keeps or answer.header("connection", "").lower() == "close":
            self.close()
        return status_of(answer), float(answer.header("retry-after", "0"))

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def case(deployment, trouble):
    machine = deployment.add_machine("sidecar-gw-a-1", "gw-a", "alpha")
    others = [deployment.add_machine("sidecar-gw-b-1", "gw-b", "alpha"),
              deployment.add_machine("sidecar-gw-c-1", "gw-c", "alpha")]
    await deployment.start(configuration(
        7, [("r-view", "safe", "/view/", "alpha", 1.2, 2),
            ("r-upload", "unsafe", "/upload/", "alpha", 3.0, 2)], ["alpha"]), work_s=0.02)
    await asyncio.sleep(3.0)
    asked = {"r-view": 0, "r-upload": 0}
    served = {"r-view": 0, "r-upload": 0}
    refused = {}
    busy = {"now": 0, "most": 0}
    body = os.urandom(BODY_BYTES)
    end = time.monotonic() + DURATION_S

    async def upload(connection):
        """Sends a request and, after a refusal, once more, as the clients of the sites do."""
        asked["r-upload"] += 1
        for _ in range(2):
            attempt = deployment.next_id()
            busy["now"] += 1
            busy["most"] = max(busy["most"], busy["now"])
            status, wait = await connection.post(attempt, body)
            busy["now"] -= 1
            deployment.note(f"client at {machine.name}: {attempt} r-upload -> {status}")
            if status == 200:
                served["r-upload"] += 1
                return
            refused[status] = refused.get(status, 0) + 1
            if status not in (None, 408, 421, 429, 503):
                return
            await asyncio.sleep(min(wait, 0.5))

    async def uploader(number):
        connection = KeptConnection(machine, keeps=trouble)
        at = end - DURATION_S + PERIOD_S * number / UPLOADERS
        while at < end:
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            await upload(connection)
            at += PERIOD_S
        connection.close()

    async def viewer():
        while time.monotonic() < end:
            asked["r-view"] += 1
            attempt, status, _ = await deployment.request(machine, "GET", HOST, "/view/1", 1200)
            served["r-view"] += status == 200
            deployment.note(f"client at {machine.name}: {attempt} r-view -> {status}")
            await asyncio.sleep(0.2)

    memory = {"most": 0.0}

    async def watch_memory():
        while True:
            memory["most"] = max(memory["most"], machine.memory_mb())
            await asyncio.sleep(0.02)

    watching = asyncio.ensure_future(watch_memory())
    await asyncio.gather(*[uploader(number) for number in range(UPLOADERS)],
                         *[viewer() for _ in range(12)])
    watching.cancel()
    ran = sum(1 for other in [machine, *others] for run in other.server.runs
              if run["method"] == "POST")
    deployment.note(f"asked {asked}, served {served}; uploads refused or unanswered: {refused}; "
                    f"uploads run: {ran}; at most {busy['most']} uploads in progress at a time; "
                    f"the node used {memory['most']:.0f} MB at most")
    share_of_all = sum(served.values()) / sum(asked.values())
    broken = []
    for kind in asked:
        share = served[kind] / asked[kind]
        if share < share_of_all / 4:
            broken.append(f"Starved: {kind} was served {served[kind]} of {asked[kind]} times "
                          f"({share:.3f}), all requests {share_of_all:.3f}")
    return broken


run_case(FOLDER, case)
