"""The store gives no response to the nodes that follow it, while the operator moves one route to
another service and drops another."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from standins import CannotRun, Deployment, configuration, main, rule  # noqa: E402

ZONES = ["ikeja", "lekki", "yaba", "apapa"]
SERVICES = ["catalogue", "payments", "allocation"]
CONFIG_APPLY_S = 2.0
STABLE_WINDOW_S = 3.0
# platform_down "nodes" of the site file: share 0.33 to 0.35, for_s 9.0.
LARGEST_SHARE = 0.35
SILENT_S = 9.0
# A request that the client sent this much earlier than the bound is not judged.
MARGIN_S = 0.5


def routes(changed):
    rules = [rule("browse", "/browse/", "allocation" if changed else "catalogue"),
             rule("status", "/status/", "allocation")]
    if not changed:
        rules.append(rule("deposit", "/deposit/", "payments", kind="unsafe"))
    return rules


async def case(record, disturb):
    deployment = Deployment(record, ZONES, SERVICES)
    store = deployment.store
    try:
        return await play(record, disturb, deployment, store)
    finally:
        await deployment.stop()


async def play(record, disturb, deployment, store):
    await deployment.start(configuration(5, routes(False), SERVICES))
    await deployment.wait_until_ready()
    followers = lambda: {door for door, count in store.waiting.items() if count > 0}
    await deployment.wait_until(
        lambda: 0 < len(followers()) <= LARGEST_SHARE * len(deployment.machines),
        "few nodes follow the store", 30.0)
    await asyncio.sleep(3.0)
    # An ordinary change, after which all followers begin a new watch.
    store.put("op/config", configuration(7, routes(False), SERVICES))
    await asyncio.sleep(3.0)
    following = followers()
    if not 0 < len(following) <= LARGEST_SHARE * len(deployment.machines):
        raise CannotRun(f"{len(following)} nodes follow the store")
    record.write("followers", doors=sorted(door[0] for door in following))

    if disturb:
        store.silent_doors = set(following)
    record.write("trouble_begins", silent_nodes=len(store.silent_doors))
    trouble_began = time.monotonic()
    await asyncio.sleep(0.5)
    store.put("op/config", configuration(9, routes(True), SERVICES))
    acknowledged = time.monotonic()
    record.write("acknowledged", version="r9")
    await asyncio.sleep(SILENT_S - (time.monotonic() - trouble_began))
    store.silent_doors = set()
    trouble_ended = time.monotonic()
    record.write("trouble_ends")

    # Clients use all machines, from the moment at which all of them are in touch again.
    await asyncio.sleep(STABLE_WINDOW_S + MARGIN_S)
    sent = {}
    for _ in range(4):
        answers = await asyncio.gather(*(
            deployment.request(machine, method, f"{prefix}{machine.name}", body)
            for machine in deployment.machines
            for method, prefix, body in (("GET", "/browse/", b""), ("POST", "/deposit/", b"x"))))
        sent.update({answer[0]: answer[1] for answer in answers})
        await asyncio.sleep(0.5)
    await asyncio.sleep(0.5)

    def runs(service, prefix):
        return [attempt for machine in deployment.machines if machine.service == service
                for _, attempt, target in machine.server.runs
                if attempt in sent and target.startswith(prefix)]

    moved, dropped = runs("catalogue", "/browse/"), runs("payments", "/deposit/")
    record.write("judged", requests=len(sent), run_by_old_service=len(moved),
                 run_with_dropped_route=len(dropped))
    if not moved and not dropped:
        return None
    latest = max(sent[attempt] for attempt in moved + dropped)
    return (f"of {len(sent)} requests, {len(moved)} were run by the old service of a route and "
            f"{len(dropped)} with a dropped route; they were sent up to "
            f"{latest - acknowledged:.1f} s after the acknowledgement and "
            f"{latest - trouble_ended:.1f} s after the end of the trouble (configApplyS is "
            f"{CONFIG_APPLY_S})")


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
