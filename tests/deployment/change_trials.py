"""Trials of changes that meet rejections by the store, one after the other."""

import collections
import dataclasses
import random
import re
import threading
import time
from datetime import datetime, timezone

from change_trial import ChangeTrial
from deployment_site import ZONES
from intent_judge import service_of
from probe_host import ProbeHost
from remote_host import RemoteHost

PROBE_INTERVAL = 0.05
# Probes are sent between these times after an acknowledgement (s).
PROBE_START = 0.2
PROBE_END = 3.0
# How often the nodes that follow the store are looked at before a trial.
SETTLE_ROUNDS = 8
APPLIED = re.compile(r"^(\S+) (?:\w+ )?E200 .*?revision=(\d+)")


class ChangeTrials:
    """Injects the faults of a trial, changes the configuration, and measures when each node has it
    in force."""

    def __init__(self, deployment, seed, ways, timings, seconds):
        self._deployment = deployment
        self._seed = seed
        self._count = 0
        self._random = None
        self._choices = (ways, timings, seconds)
        self._probes = RemoteHost(ProbeHost)
        self.outcomes = []

    def end(self):
        self._probes.stop()

    def run(self):
        """Plays a trial. Returns its description and what was measured."""
        # A seed gives the same trials however long the nodes take to settle.
        self._count += 1
        self._random = random.Random(f"{self._seed}-trial-{self._count}")
        trial = ChangeTrial.draw(self._random, *self._choices)
        followers = self._settle()
        nodes = list(self._deployment.nodes)
        others = [name for name in nodes if name not in followers]
        rejected = followers + self._random.sample(others, min(trial.further, len(others)))
        burst = threading.Thread(target=self._deployment.burst, args=(1.7, 3.0), daemon=True)
        if trial.is_burst:
            burst.start()
            time.sleep(0.3)
        undo, disturbed = self._begin_second(trial.second, followers)
        if trial.pause is not None:
            self._deployment.change()
            time.sleep(trial.pause)
        acknowledged_at, revision = self._deployment.change(
            0, (rejected, trial.way, trial.connections), trial.rejection_delay)
        wall = time.time() - (time.monotonic() - acknowledged_at)
        index = len(self._deployment.versions.sent_at) - 1
        probed = [(name, node.ports["callers"]) for name, node in self._deployment.nodes.items()
                  if name not in disturbed]
        outcomes, latest_send = self._probes.call(
            "probe", probed, self._deployment.versions.changed, acknowledged_at + PROBE_START,
            acknowledged_at + PROBE_END, PROBE_INTERVAL)
        self._deployment.store.call("reject", rejected, None)
        for call in undo:
            call()
        if trial.is_burst:
            burst.join()
        self.outcomes += outcomes
        delays, unknown = self._delays(outcomes, index, acknowledged_at, [n for n, _ in probed])
        last = max(delays, key=delays.get)
        in_force = self._in_force(revision, wall, delays)
        return {**dataclasses.asdict(trial), "at": wall, "revision": revision, "rejected": rejected,
                "followers": len(followers), "delay": delays[last], "last": last,
                "unknown": unknown, "latestSend": latest_send, "delays": delays,
                "inForce": in_force}

    def _settle(self):
        """Waits until each data centre has one follower, and some more. Returns the followers."""
        rng = random.Random()
        for _ in range(SETTLE_ROUNDS):
            # A change ends the watches of nodes that no longer follow the store.
            self._deployment.change()
            time.sleep(rng.uniform(2.2, 3.4))
            readers = self._deployment.store.call("readers")
            if len(readers) == len(ZONES):
                return readers
        raise RuntimeError(f"the nodes {readers} follow the store")

    def _delays(self, outcomes, index, acknowledged_at, nodes):
        """Returns for each node when the last probe was sent that it handled as an older version
        says, 0 without one; and how many probes told nothing, by prefix and status."""
        delays = dict.fromkeys(nodes, 0.0)
        unknown = collections.Counter()
        for outcome in outcomes:
            node, prefix, sent_at, ended_at, status, _ = outcome
            if status not in (200, 404):
                unknown[f"{prefix} {status}"] += 1
                continue
            matching = self._deployment.versions.matching(prefix, service_of(outcome), ended_at)
            if not matching or matching[-1] < index:
                delays[node] = max(delays[node], sent_at - acknowledged_at)
        return delays, unknown

    def _in_force(self, revision, wall, nodes):
        """Returns by node how long after the acknowledgement its log has the revision (s)."""
        times = {}
        for name in nodes:
            for line in self._deployment.nodes[name].log.read_text(errors="replace").splitlines():
                match = APPLIED.match(line)
                if match and int(match[2]) >= revision:
                    logged = datetime.fromisoformat(match[1].replace("Z", "+00:00"))
                    times[name] = round(logged.astimezone(timezone.utc).timestamp() - wall, 3)
                    break
        return times

    # ------------------------------------------------------------------ second faults

    def _begin_second(self, kind, followers):
        """Begins a second fault. Returns what undoes it, and the nodes that are out of touch."""
        if kind is None:
            return [], []
        return getattr(self, f"_begin_{kind}")(followers)

    def _disturb(self, names):
        log = self._deployment.disturbances
        entries = [log.begin(name) for name in names]
        return lambda: [log.end(entry) for entry in entries]

    def _zone(self, zone):
        return [n.name for n in self._deployment.nodes.values() if n.zone == zone]

    def _cut(self, sides):
        network = self._deployment.network
        cuts = network.call("cut", sides, False)
        return lambda: network.call("heal", cuts, 0.0)

    def _begin_zone_cut(self, followers):
        store = self._deployment.store
        inside = self._zone(self._random.choice(list(ZONES)))
        outside = [name for name in self._deployment.nodes if name not in inside]
        undisturb = self._disturb(inside)
        heal = self._cut((inside, outside))
        store.call("reject", inside, "silent", "hanging")
        return [heal, lambda: store.call("reject", inside, None), undisturb], inside

    def _begin_bridge_cut(self, followers):
        first, second = self._random.sample(list(ZONES), 2)
        return [self._cut((self._zone(first), self._zone(second)))], []

    def _chosen(self, followers):
        return self._deployment.nodes[self._random.choice(followers or
                                                          list(self._deployment.nodes))]

    def _begin_kill(self, followers):
        node = self._chosen(followers)
        undo = self._disturb([node.name])
        node.process.kill()
        return [lambda: self._deployment.restart(node), undo], [node.name]

    def _begin_freeze(self, followers):
        node = self._chosen(followers)
        undo = self._disturb([node.name])
        node.freeze()
        return [node.thaw, undo], [node.name]

    def _begin_silent_links(self, followers):
        self._disturb([None])()
        self._deployment.network.call("silence", list(self._deployment.nodes), 1.0)
        return [], []
