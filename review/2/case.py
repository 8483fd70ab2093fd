"""A node is killed after it acknowledged that its server leaves; a heartbeat of the server that was
sent before that arrives late, at the restarted node."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from standins import CannotRun, Deployment, configuration, main, rule  # noqa: E402

ZONES = ["ikeja", "lekki"]
SERVICES = ["catalogue", "payments"]
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
# How late the heartbeat arrives.
LATE_S = 2.0


async def case(record, disturb):
    deployment = Deployment(record, ZONES, SERVICES)
    try:
        return await play(record, disturb, deployment)
    finally:
        await deployment.stop()


async def play(record, disturb, deployment):
    rules = [rule("browse", "/browse/", "catalogue"),
             rule("deposit", "/deposit/", "payments", kind="unsafe")]
    await deployment.start(configuration(5, rules, SERVICES))
    await deployment.wait_until_ready()
    machine = deployment.machine("ikeja", "catalogue")
    server = machine.server
    caller = deployment.machine("ikeja", "payments")

    async def server_is_used():
        await asyncio.gather(*(deployment.request(caller, "GET", "/browse/warm")
                               for _ in range(4)))
        return len(server.runs) > 0

    await deployment.wait_until(server_is_used, "the server gets requests")
    await asyncio.sleep(3.0)

    # The server sends a heartbeat that arrives late, and then says that it leaves.
    server.stop_beats()
    late_beat = server.next_beat()
    sent_at = time.monotonic()
    record.write("heartbeat_sent", seqNum=late_beat["seqNum"], arrives="late")
    if not await server.send("DELETE", {"born": server.born}):
        raise CannotRun("the leave was not acknowledged")
    acknowledged = time.monotonic()
    record.write("leave_acknowledged", instance=server.instance, node=machine.name)

    if disturb:
        await asyncio.sleep(0.1)
        machine.signal(signal.SIGKILL)
        machine.process.wait()
        await asyncio.sleep(0.4)
        machine.start()
        await deployment.wait_until(machine.is_ready, "the restarted node is ready")
    await asyncio.sleep(max(0.0, sent_at + LATE_S - time.monotonic()))
    await server.send("PUT", late_beat)

    # The server serves on for some seconds, as servers may after they left. All machines are in
    # touch once the restart lies stableWindowS back.
    in_touch = max(acknowledged + DRAIN_S, machine.started_at + STABLE_WINDOW_S) + 0.5
    await asyncio.sleep(max(0.0, in_touch - time.monotonic()))
    sent = set()
    for _ in range(10):
        answers = await asyncio.gather(*(deployment.request(caller, "GET", "/browse/judged")
                                         for _ in range(4)))
        sent.update(answer[0] for answer in answers)
        await asyncio.sleep(0.1)
    late = [arrived - acknowledged for arrived, attempt, _ in server.runs if attempt in sent]
    record.write("judged", requests=len(sent), reached_the_server_that_left=len(late))
    if not late:
        return None
    return (f"{len(late)} of {len(sent)} requests reached the server {min(late):.1f} to "
            f"{max(late):.1f} s after its leaving was acknowledged (drainS is {DRAIN_S})")


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
