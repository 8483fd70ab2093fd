"""A server leaves while the node beside it is being stopped and started; a heartbeat arrives late.

The server sends DELETE after the node's SIGTERM and gets 200. One heartbeat that it sent before its
DELETE arrives seconds late, at the node's next process. Checked: no request reaches the server
later than drainS after the acknowledgement, counted only where the machine of the client and that
of the server have been in touch.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from harness import BOUNDS, CONTROL, HOST, CannotRun, configuration, run_case  # noqa: E402

# From the SIGTERM, in seconds: the last heartbeat is sent, the server leaves.
LAST_HEARTBEAT_AFTER = 0.6
LEAVES_AFTER = 0.8
# How late the last heartbeat arrives: "a heartbeat may arrive seconds late".
HEARTBEAT_LATE_S = 4.0
# How long the server goes on beyond drainS: "at times many seconds".
SERVES_LONGER_S = 6.0


async def case(deployment, trouble):
    first = deployment.add_machine("sidecar-gw-a-1", "gw-a", "alpha")
    others = [deployment.add_machine("sidecar-gw-b-1", "gw-b", "alpha"),
              deployment.add_machine("sidecar-gw-c-1", "gw-c", "alpha"),
              deployment.add_machine("sidecar-gw-a-2", "gw-a", "beta")]
    await deployment.start(configuration(
        7, [("r-view", "safe", "/view/", "alpha", 1.2, 2),
            ("r-pay", "unsafe", "/pay/", "alpha", 1.2, 2)], ["alpha", "beta"]), work_s=0.1)
    server = first.server
    requests = {}
    ends = asyncio.Event()

    async def client(machine, number):
        while not ends.is_set():
            kind = ("GET", "/view/1") if number % 2 else ("POST", "/pay/1")
            sent = time.monotonic()
            attempt = deployment.next_id()
            requests[attempt] = {"machine": machine, "sent": sent, "kind": kind[0]}
            _, status, _ = await deployment.request(machine, *kind[:1], HOST, kind[1], 1500,
                                                    b"x" if number % 2 == 0 else b"", attempt)
            requests[attempt]["status"] = status
            deployment.note(f"client at {machine.name}: {attempt} {kind[0]} -> {status}")
            await asyncio.sleep(0.05)

    clients = [asyncio.ensure_future(client(machine, number))
               for machine in others for number in range(3)]
    await asyncio.sleep(4.0)
    if not server.runs:
        raise CannotRun("the server got no request in steady state")

    began = time.monotonic()
    if trouble:
        first.send_signal(signal.SIGTERM)
    await asyncio.sleep(LAST_HEARTBEAT_AFTER)
    server.stop_heartbeats()
    late = server.announcement_bytes("PUT", server.announcement())
    deployment.note(f"server {server.instance}: sends a heartbeat (seqNum {server.sequence}), "
                    f"which will arrive {HEARTBEAT_LATE_S} s late")

    async def deliver_late():
        await asyncio.sleep(HEARTBEAT_LATE_S)
        reader, writer = await asyncio.open_connection(first.address, CONTROL)
        writer.write(late)
        line = await asyncio.wait_for(reader.readline(), 2.0)
        deployment.note(f"the late heartbeat arrived: {line.decode().strip()}")
        writer.close()

    delivery = asyncio.ensure_future(deliver_late())
    await asyncio.sleep(LEAVES_AFTER - LAST_HEARTBEAT_AFTER)
    left = await server.deregister()
    acknowledged = time.monotonic()
    deployment.note(f"server {server.instance}: DELETE -> {left} "
                    f"({acknowledged - began:.2f} s after the SIGTERM)")
    if left != 200:
        raise CannotRun("the DELETE was not acknowledged")
    await asyncio.sleep(BOUNDS["drainS"] + SERVES_LONGER_S)
    await delivery
    running = server.running
    await server.exit()
    deployment.note(f"server {server.instance}: exits, {running} requests at work")
    await asyncio.sleep(1.5)
    ends.set()
    await asyncio.gather(*clients)

    broken = []
    late_runs = 0
    for run in server.runs:
        after = run["at"] - acknowledged
        if after <= BOUNDS["drainS"]:
            continue
        late_runs += 1
        request = requests[run["id"]]
        counts = first.in_touch(run["at"]) and request["machine"].in_touch(run["at"])
        answer = request.get("status")
        line = (f"DRAIN: request {run['id']} ({run['method']} from {request['machine'].name}) "
                f"reached server {server.instance} {after:.2f} s after its DELETE was "
                f"acknowledged; answered {answer}")
        if counts:
            broken.append(line)
        else:
            deployment.note("not counted, a machine was not in touch: " + line)
    deployment.note(f"{len(server.runs)} requests ran at {server.instance}, {late_runs} later than "
                    f"drainS after the acknowledgement, {len(broken)} of them counted")
    return broken


run_case(FOLDER, case)
