"""A series of faults and changes that overlap, drawn from a seed."""

import random
import threading
import time

from deployment_site import ZONES

REJECTIONS = ("silent", "busy", "many", "reset")


class DayOfFaults:
    """Injects faults into a deployment. Those that leave a machine its path to the store excuse no
    late change, nor do rejections by the store."""

    def __init__(self, deployment, seed, kinds=None):
        self._deployment = deployment
        self._random = random.Random(f"{seed}-day")
        self._threads = []
        self._joined = 0
        self._kinds = kinds or [name[len("_fault_"):] for name in sorted(dir(self))
                                if name.startswith("_fault_")]

    def run(self, seconds, shortest, longest):
        """Injects faults with pauses between two lengths (s), and ends after some seconds."""
        end = time.monotonic() + seconds
        changes = threading.Thread(target=self._change_until, args=(end,), daemon=True)
        changes.start()
        self._threads.append(changes)
        while time.monotonic() < end:
            kind = self._random.choice(self._kinds)
            print(f"  {time.monotonic():.2f} {kind}", flush=True)
            thread = threading.Thread(target=getattr(self, f"_fault_{kind}"),
                                      args=(random.Random(self._random.random()),), daemon=True)
            thread.start()
            self._threads.append(thread)
            time.sleep(self._random.uniform(shortest, longest))
        for thread in self._threads:
            thread.join()

    def fall_of_all(self, delay, pause):
        """Kills all nodes right after a change was sent, and starts them again."""
        change = threading.Thread(target=self._deployment.change)
        change.start()
        time.sleep(delay)
        self._deployment.kill(self._deployment.running(), pause)
        change.join()

    def _some(self, rng, share):
        nodes = self._deployment.running()
        return rng.sample(nodes, max(1, round(share * len(nodes))))

    @staticmethod
    def _names(nodes):
        return [node.name for node in nodes]

    def _change_until(self, end):
        rng = random.Random(self._random.random())
        while time.monotonic() < end:
            time.sleep(rng.choice((0.2, 0.7, 1.5, 3.0)) * rng.uniform(0.5, 1.5))
            self._deployment.change()

    # ------------------------------------------------------------------ changes

    def _fault_change(self, rng):
        self._deployment.change()

    def _fault_storm(self, rng):
        for _ in range(rng.randrange(5, 20)):
            self._deployment.change()
            time.sleep(rng.uniform(0.1, 0.3))

    def _fault_many_routes(self, rng):
        self._deployment.change(added=150)

    def _fault_burst(self, rng):
        self._deployment.burst(rng.uniform(1.4, 3.0), rng.uniform(1.0, 4.0))

    # ------------------------------------------------------------------ processes

    def _fault_kill(self, rng):
        self._deployment.kill(self._some(rng, rng.choice((0.1, 0.1, 0.3))), rng.uniform(0.2, 1.5))

    def _fault_own_end(self, rng):
        node = rng.choice(self._deployment.running())
        self._deployment.change()
        time.sleep(rng.uniform(0.0, 0.4))
        self._deployment.end_by_itself(node, rng.uniform(0.05, 0.5))

    def _fault_planned_stop(self, rng):
        self._deployment.stop_and_start(rng.choice(self._deployment.running()), 6.0)

    def _fault_freeze(self, rng):
        self._deployment.freeze(self._some(rng, 0.1), rng.uniform(0.5, 4.0))

    def _fault_join(self, rng):
        if self._joined >= 4:
            return
        self._joined += 1
        zone = rng.choice(list(ZONES))
        self._deployment.join(f"sidecar-{zone}-{4 + self._joined}", zone, rng.choice(ZONES[zone]))

    def _fault_leave(self, rng):
        nodes = self._deployment.running()
        if len(nodes) > 8:
            self._deployment.leave(rng.choice(nodes), rng.uniform(0.0, 2.0))

    # ------------------------------------------------------------------ network

    def _cut(self, rng, cuts, disturbed):
        """Heals cuts after some seconds, with a change meanwhile and one afterwards."""
        entries = [self._deployment.disturbances.begin(name) for name in disturbed]
        seconds = rng.uniform(1.0, 6.0)
        time.sleep(seconds / 2)
        self._deployment.change()
        time.sleep(seconds / 2)
        self._deployment.network.call("heal", cuts, rng.choice((0.0, min(seconds, 3.2))))
        for entry in entries:
            self._deployment.disturbances.end(entry)
        time.sleep(rng.uniform(0.0, 1.5))
        self._deployment.change()

    def _fault_zone_cut(self, rng):
        zone = rng.choice(list(ZONES))
        inside = [n.name for n in self._deployment.nodes.values() if n.zone == zone]
        outside = [n.name for n in self._deployment.nodes.values() if n.zone != zone]
        is_reset = rng.random() < 0.5
        cuts = self._deployment.network.call("cut", (inside, outside), is_reset)
        cuts += self._deployment.network.call("cut_from_store", inside, is_reset)
        self._cut(rng, cuts, inside)

    def _fault_bridge_cut(self, rng):
        first, second = rng.sample(list(ZONES), 2)
        sides = [[n.name for n in self._deployment.nodes.values() if n.zone == zone]
                 for zone in (first, second)]
        cuts = self._deployment.network.call("cut", sides, rng.random() < 0.3)
        self._cut(rng, cuts, [])

    def _fault_node_cut(self, rng):
        chosen = self._names(self._some(rng, rng.choice((0.1, 0.35))))
        others = [name for name in self._deployment.nodes if name not in chosen]
        cuts = self._deployment.network.call("cut", (chosen, others), rng.random() < 0.3)
        self._cut(rng, cuts, [])

    def _fault_store_cut(self, rng):
        chosen = self._names(self._some(rng, rng.choice((0.1, 0.35))))
        cuts = self._deployment.network.call("cut_from_store", chosen, rng.random() < 0.5)
        self._cut(rng, cuts, chosen)

    def _fault_resets(self, rng):
        chosen = self._names(self._some(rng, 0.35))
        entries = [self._deployment.disturbances.begin(name) for name in chosen]
        self._deployment.network.call("reset", chosen, 0.55)
        for entry in entries:
            self._deployment.disturbances.end(entry)
        time.sleep(rng.uniform(0.0, 1.0))
        self._deployment.change()

    def _fault_silent_connections(self, rng):
        entry = self._deployment.disturbances.begin(None)
        chosen = list(self._deployment.nodes) if rng.random() < 0.5 else self._names(
            self._some(rng, 0.5))
        self._deployment.network.call("silence", chosen, rng.choice((0.55, 1.0)))
        self._deployment.disturbances.end(entry)
        time.sleep(rng.uniform(0.0, 1.0))
        self._deployment.change()

    # ------------------------------------------------------------------ store

    def _reject(self, rng, nodes, seconds):
        fault = rng.choice(REJECTIONS)
        self._deployment.store.call("reject", nodes, fault)
        time.sleep(seconds / 2)
        self._deployment.change()
        time.sleep(seconds / 2)
        self._deployment.store.call("reject", nodes, None)
        self._deployment.change()

    def _fault_rejection(self, rng):
        self._reject(rng, self._names(self._some(rng, 0.35)), rng.uniform(1.0, 9.0))

    def _fault_rejected_readers(self, rng):
        self._reject(rng, self._deployment.store.call("readers")[:4], rng.uniform(1.0, 9.0))

    def _fault_outage(self, rng):
        entry = self._deployment.disturbances.begin(None)
        nodes = list(self._deployment.nodes)
        self._deployment.store.call("reject", nodes, rng.choice(REJECTIONS))
        time.sleep(rng.uniform(1.0, 5.0))
        self._deployment.store.call("reject", nodes, None)
        self._deployment.disturbances.end(entry)
        self._deployment.change()

    def _fault_lost_watches(self, rng):
        self._deployment.store.call("lose_calls")
        self._deployment.change()

    def _fault_compaction(self, rng):
        self._deployment.store.call("compact", rng.choice((0.0, 3.0, 6.0)))
        self._deployment.change()

    def _fault_slow_store(self, rng):
        entry = self._deployment.disturbances.begin(None)
        self._deployment.store.call("set_delay", rng.uniform(0.05, 0.25))
        time.sleep(rng.uniform(1.0, 4.5))
        self._deployment.store.call("set_delay", 0.0)
        self._deployment.disturbances.end(entry)
        self._deployment.change()
