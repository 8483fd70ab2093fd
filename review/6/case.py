"""The operator adds a route to a service whose other requests take longer than its time-out.

The servers need 0.3 s for the requests of the first route and 0.03 s for those of the added one,
whose time-out is 0.25 s. Nothing else happens. Checked: CONFIG, whether in steady state the requests
on the added route are served less than a quarter as often as those on the first one.
With TROUBLE=0 the route is there from the first configuration on.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from harness import BOUNDS, HOST, configuration, run_case  # noqa: E402

PAY_WORK_S, CHECK_WORK_S = 0.3, 0.03
PAY_TIMEOUT_S, CHECK_TIMEOUT_S = 1.5, 0.25
PAY_DEADLINE_MS, CHECK_DEADLINE_MS = 1500, 500
BEFORE_S, STEADY_S = 5.0, 40.0

FIRST = ("r-pay", "unsafe", "/pay/", "beta", PAY_TIMEOUT_S, 2)
ADDED = ("r-check", "safe", "/check/", "beta", CHECK_TIMEOUT_S, 2)


async def case(deployment, trouble):
    callers = [deployment.add_machine("sidecar-gw-a-1", "gw-a", "alpha"),
               deployment.add_machine("sidecar-gw-b-1", "gw-b", "alpha")]
    for zone in deployment.zones[1:]:
        deployment.add_machine(f"sidecar-{zone}-2", zone, "beta")
    services = ["alpha", "beta"]
    first = [FIRST] if trouble else [FIRST, ADDED]
    await deployment.start(configuration(7, first, services))
    for server in deployment.servers:
        server.work_of = lambda target: CHECK_WORK_S if target.startswith("/check/") else PAY_WORK_S
    await asyncio.sleep(3.0)
    asked = {"r-pay": 0, "r-check": 0}
    served = {"r-pay": 0, "r-check": 0}
    statuses = {}
    phase = {"steady": False}
    ends = asyncio.Event()

    async def client(machine, kind, method, target, deadline_ms):
        while not ends.is_set():
            counts = phase["steady"]
            attempt, status, _ = await deployment.request(machine, method, HOST, target, deadline_ms,
                                                          b"x" if method == "POST" else b"")
            if counts:
                asked[kind] += 1
                served[kind] += status == 200
                statuses[kind, status] = statuses.get((kind, status), 0) + 1
            deployment.note(f"client at {machine.name}: {attempt} {kind} -> {status}")
            await asyncio.sleep(0.3)

    def begin(kind, method, target, deadline_ms):
        return [asyncio.ensure_future(client(machine, kind, method, target, deadline_ms))
                for machine in callers for _ in range(4)]

    clients = begin("r-pay", "POST", "/pay/1", PAY_DEADLINE_MS)
    if not trouble:
        clients += begin("r-check", "GET", "/check/1", CHECK_DEADLINE_MS)
    await asyncio.sleep(BEFORE_S)
    if trouble:
        await deployment.store.operator_writes("op/config",
                                               configuration(9, [FIRST, ADDED], services))
        deployment.note("operator: r9 acknowledged, which adds r-check")
    await asyncio.sleep(BOUNDS["configApplyS"] + 1.0)
    if trouble:
        clients += begin("r-check", "GET", "/check/1", CHECK_DEADLINE_MS)
    phase["steady"] = True
    ran = sum(len(server.runs) for server in deployment.servers)
    await asyncio.sleep(STEADY_S)
    phase["steady"] = False
    ends.set()
    await asyncio.gather(*clients)
    checks = sum(1 for server in deployment.servers for run in server.runs
                 if run["target"].startswith("/check/"))
    ran = sum(len(server.runs) for server in deployment.servers) - ran
    deployment.note(f"in {STEADY_S} s: asked {asked}, served {served}, answers {statuses}; "
                    f"{ran} requests ran at the servers, {checks} of them of r-check")
    share = {kind: served[kind] / asked[kind] for kind in asked}
    if asked["r-check"] >= 20 and share["r-check"] < share["r-pay"] / 4:
        return [f"CONFIG: of {asked['r-check']} requests on the added route {served['r-check']} "
                f"were served ({share['r-check']:.3f}), of {asked['r-pay']} on the first one "
                f"{served['r-pay']} ({share['r-pay']:.3f})"]
    return []


run_case(FOLDER, case)
