"""Randomized soak test: node processes under injected faults, with guarantees checked by callers.

Usage: soak.py [--seconds N] [--nodes N] [--fresh N | SEED...]; without seeds the regression seeds
are run. A seed repeats the same sequence of faults; their timing relative to the traffic varies.
"""

import argparse
import random
import signal
import sys
import threading
import time
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parents[1] / "platform"),
                str(Path(__file__).resolve().parent)]

from callers import Caller  # noqa: E402
from disturbances import Disturbances  # noqa: E402
from late_loops import LateLoops  # noqa: E402
from platform_fleet import PlatformFleet, configuration, rule  # noqa: E402
from promises import GuaranteeChecker  # noqa: E402
from proxy import MODES, Proxy  # noqa: E402
from rejections import Rejections  # noqa: E402
from store_entrance import StoreEntrance  # noqa: E402

# Seeds that failed before, each with its cause, and others that cover further kinds of faults.
REGRESSION_SEEDS = {
    1: "one follower lost its watch in a silent store and waited for its peers' next exchange",
    2: "all watches were lost in a silent store, and no node received changes for 26 s",
    3: "covers kills, drains and cuts",
}
ZONES = ("ikeja", "lekki")
SERVICES = ("items", "orders")
FIRST_PORT = 15000
# Limit for a change to be in force on every node that reaches the store. After a fault has ended,
# a node regards its connections as working within SETTLE_SECONDS.
IN_FORCE_SECONDS = 2.0
SETTLE_SECONDS = 4.0
# The age of reads with "staleOk"; the platform allows some seconds.
STALENESS_SECONDS = 3.0
# Attempts for a final call, as one upstream may still be regarded as unavailable.
FINAL_CALL_ATTEMPTS = 3
# Time for a planned stop, in s; a node that is frozen or throttled meanwhile may need longer and is
# killed.
STOP_SECONDS = 8.0
# Service time in s of calls whose number ends in 0, so that some are in progress at a stop.
LONG_SERVICE_SECONDS = 0.4


class Soak:
    """A fleet under random faults, with proxies in front of the store and of all peer ports."""

    def __init__(self, seed, nodes, first_port, in_force_seconds=IN_FORCE_SECONDS):
        self.in_force_seconds = in_force_seconds
        self.random = random.Random(seed)
        self.fleet = PlatformFleet(first_port)
        self.disturbances = Disturbances()
        self.guarantees = GuaranteeChecker(self.disturbances)
        self.finished = threading.Event()
        self.fault_threads = []
        # Kills and planned stops of one node may overlap.
        self.restart_lock = threading.Lock()
        self.version = 0
        self.incarnations = {}
        self.upstreams = []
        self.entrances = []
        self.store_proxies = {}
        self.link_proxies = {}
        for number in range(nodes):
            self._add_node(number)
        self.late_loops = LateLoops(seed, self.fleet.nodes, self._stop_and_restart)
        self.rejections = Rejections(seed, self.entrances)

    def _add_node(self, number):
        node = self.fleet.add_node(f"n{number}", ZONES[number % 2], SERVICES[number // 2 % 2])
        take = self.fleet.ports.take
        entrance = StoreEntrance(self.fleet.event_loop, take(), self.fleet.store)
        entrance.start()
        self.entrances.append(entrance)
        store = Proxy(self.fleet.event_loop, take(), entrance.port)
        links = Proxy(self.fleet.event_loop, take(), node.peer_port)
        self.store_proxies[node.name] = store
        self.link_proxies[node.name] = links
        node.extra_settings = {"platform": f"127.0.0.1:{store.port}",
                               "peersReachableAt": f"127.0.0.1:{links.port}"}
        self.incarnations[node.name] = 0

    def run(self, seconds):
        """Injects faults for some seconds, ends them, and returns the violations of guarantees."""
        try:
            self._write_configuration()
            self.fleet.store.staleness = STALENESS_SECONDS
            self.fleet.start()
            self.upstreams = [node.upstream for node in self.fleet.nodes]
            for upstream in self.upstreams:
                self._set_service_times(upstream)
            for path in ("/items/1", "/orders/1"):
                self.fleet.wait_until_served(path)
            callers = [Caller(self, node, self.random.random()) for node in self.fleet.nodes]
            prober = threading.Thread(target=self._probe_versions)
            prober.start()
            self.late_loops.start()
            self.rejections.start()
            self._inject(time.monotonic() + seconds)
            self._end_all_faults()
            self._check_recovered()
            self.finished.set()
            for caller in callers:
                caller.join()
            prober.join()
            self.guarantees.check_runs(self.upstreams)
            self.guarantees.check_planned_stops(self.fleet.nodes, self.upstreams)
        except AssertionError as error:
            self.guarantees.record_violation(str(error))
        finally:
            self.finished.set()
            self.late_loops.end()
            self.rejections.end()
            self._join_fault_threads()
            for server in (*self.store_proxies.values(), *self.link_proxies.values(),
                           *self.entrances):
                server.stop()
            self.fleet.stop()
        return self.guarantees.violations

    @staticmethod
    def _set_service_times(upstream):
        usual = upstream.service_time
        upstream.service_time_of = lambda request: (
            LONG_SERVICE_SECONDS if request.path.endswith("0") else usual)

    # ------------------------------------------------------------------ configuration

    def _write_configuration(self):
        """Writes the next configuration, which has a marker route that no other one has."""
        self.version += 1
        rules = [rule("items", "/items/", service="items"),
                 rule("orders", "/orders/", kind="unsafe", service="orders"),
                 rule(f"m{self.version}", f"/marker-{self.version}/", service="items")]
        self.fleet.store.put("op/config", configuration(self.version, rules, SERVICES))

    def _probe_versions(self):
        """Checks until the end that no process reverts to an older configuration."""
        while not self.finished.is_set():
            for node in self.fleet.nodes:
                incarnation = self.incarnations[node.name]
                known = self.guarantees.newest_version(node.name, incarnation)
                newest = self.version
                for number in {newest, known} - {0}:
                    self._probe(node, incarnation, number, known)
            time.sleep(0.05)

    def _probe(self, node, incarnation, number, known):
        try:
            status = node.call(path=f"/marker-{number}/", budget=500).status
        except OSError:
            return
        if status == 200:
            if number < known:
                self.guarantees.record_violation(f"{node.name} reverted from {known} to {number}")
            self.guarantees.record_version(node.name, incarnation, number)

    # ------------------------------------------------------------------ faults

    def _inject(self, end):
        faults = (self._kill, self._stop_gracefully, self._freeze, self._cut_from_store,
                  self._disturb_links, self._store_outage, self._compact_history,
                  self._expire_leases, self._write_configurations, self._drain)
        while time.monotonic() < end:
            fault = self.random.choice(faults)
            print(f"  {fault.__name__.strip('_')}", flush=True)
            fault(self.random.choice(self.fleet.nodes))
            # Faults overlap, as some last longer than this pause.
            time.sleep(self.random.uniform(0.05, 0.8))

    def _schedule(self, seconds, action, *arguments):
        timer = threading.Timer(seconds, action, arguments)
        self._start_thread(timer)

    def _start_thread(self, thread):
        thread.daemon = True
        self.fault_threads.append(thread)
        thread.start()

    def _join_fault_threads(self):
        """Cancels timers of faults and joins their threads.

        Otherwise a server could start after the end of the test and keep its port.
        """
        for thread in self.fault_threads:
            if isinstance(thread, threading.Timer):
                thread.cancel()
        for thread in self.fault_threads:
            thread.join()

    def _restart(self, node):
        with self.restart_lock:
            if not self.finished.is_set() and not node.process.is_running():
                self.incarnations[node.name] += 1
                node.start()

    def _kill(self, node):
        for victim in self.random.sample(self.fleet.nodes, self.random.choice((1, 1, 2, 5))):
            self.disturbances.add(victim.name)
            if victim.process.is_running():
                victim.process.kill()
            self._schedule(self.random.uniform(0.1, 1.0), self._restart, victim)

    def _stop_gracefully(self, node):
        stop = self._begin_stop(node)
        self._start_thread(threading.Thread(target=self._wait_and_restart, args=(node, stop)))

    def _stop_and_restart(self, node):
        self._wait_and_restart(node, self._begin_stop(node))

    def _begin_stop(self, node):
        stop = self.disturbances.begin_stop(node.name)
        node.process.terminate()
        return stop

    def _wait_and_restart(self, node, stop):
        if node.process.wait(STOP_SECONDS) is None:
            self.disturbances.add(node.name)
        self.disturbances.end_stop(stop)
        self._restart(node)

    def _freeze(self, node):
        seconds = self.random.uniform(0.2, 3.0)
        self.late_loops.freeze(node, seconds)
        self.disturbances.add(node.name, seconds)
        node.process.signal(signal.SIGSTOP)
        self._schedule(seconds, node.process.signal, signal.SIGCONT)

    def _disturb(self, proxy):
        """Disturbs the connections of a proxy. Returns for how long, in s."""
        if self.random.random() < 0.3:
            proxy.reset_all()
            return 0.0
        proxy.set_mode(self.random.choice(MODES))
        seconds = self.random.uniform(0.3, 3.0)
        self._schedule(seconds, proxy.set_mode, "open")
        return seconds

    def _cut_from_store(self, node):
        self._disturb(self.store_proxies[node.name])

    def _disturb_links(self, node):
        self.disturbances.add(node.name, self._disturb(self.link_proxies[node.name]))

    def _store_outage(self, node):
        self.fleet.store.fault = self.random.choice(("out", "silent", "lost"))
        self._schedule(self.random.uniform(0.3, 2.5), setattr, self.fleet.store, "fault", None)

    def _compact_history(self, node):
        self.fleet.store.compact_history()

    def _expire_leases(self, node):
        self.fleet.store.expire_leases()

    def _write_configurations(self, node):
        for _ in range(self.random.choice((1, 1, 4))):
            self._write_configuration()
            time.sleep(self.random.uniform(0.0, 0.1))

    def _drain(self, node):
        """Drains an upstream and replaces it by another instance after 3 s."""
        old = node.upstream
        # The replacement of a draining upstream is scheduled already.
        if old.state == "draining" or not node.process.is_running() or old.drain() != 200:
            return
        self.guarantees.record_drain(old, time.monotonic())

        def replace():
            old.stop()
            if not self.finished.is_set():
                node.add_upstream(instance=f"{old.instance}+")
                self._set_service_times(node.upstream)
                self.upstreams.append(node.upstream)

        self._schedule(3.0, replace)

    # ------------------------------------------------------------------ after the faults

    def _end_all_faults(self):
        self.late_loops.end()
        self.rejections.end()
        self.fleet.store.fault = None
        # Faults that are still active end in this time.
        time.sleep(SETTLE_SECONDS)
        for proxy in (*self.store_proxies.values(), *self.link_proxies.values()):
            proxy.set_mode("open")
        for node in self.fleet.nodes:
            node.process.signal(signal.SIGCONT)
            self._restart(node)
        time.sleep(SETTLE_SECONDS)

    def _check_recovered(self):
        """Checks that a change is in force on all nodes in time, also behind lost watches and while
        the store rejects the nodes that follow it, and that calls are served."""
        self.rejections.reject_readers()
        self.fleet.store.lose_calls_in_progress()
        self._write_configuration()
        changed_at = time.monotonic()
        marker = f"/marker-{self.version}/"
        for node in self.fleet.nodes:
            left = changed_at + self.in_force_seconds - time.monotonic()
            self.fleet.wait_until(lambda n=node: n.call(path=marker).status == 200,
                                  f"{node.name} applies version {self.version}", max(left, 0.2))
        for node in self.fleet.nodes:
            for path in ("/items/7", "/orders/7"):
                statuses = [node.call(path=path).status for _ in range(FINAL_CALL_ATTEMPTS)]
                if 200 not in statuses:
                    self.guarantees.record_violation(
                        f"{node.name} responds to {path} with {statuses} after the faults")


def main():
    """Runs seeds and prints violations. Returns 1 when any seed had some."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seeds", nargs="*", type=int)
    parser.add_argument("--seconds", type=float, default=12.0, help="duration of the faults")
    parser.add_argument("--nodes", type=int, default=12)
    parser.add_argument("--fresh", type=int, default=0, help="run this number of random seeds")
    parser.add_argument("--first-port", type=int, default=FIRST_PORT,
                        help="must differ between concurrent soak tests")
    parser.add_argument("--in-force-seconds", type=float, default=IN_FORCE_SECONDS,
                        help="limit for a change after the faults; longer on a busy machine")
    options = parser.parse_args()
    seeds = options.seeds or list(REGRESSION_SEEDS)
    if options.fresh:
        seeds = [random.randrange(10**6) for _ in range(options.fresh)]
    failed = []
    for index, seed in enumerate(seeds):
        print(f"seed {seed}", flush=True)
        soak = Soak(seed, options.nodes, options.first_port + index % 8 * 400,
                    options.in_force_seconds)
        violations = soak.run(options.seconds)
        print(f"  statuses {dict(soak.guarantees.statuses)}")
        for line in violations:
            print(f"  VIOLATED {line}")
        if violations:
            print(f"  logs in {soak.fleet.folder}")
            failed.append(seed)
    print(f"{len(seeds) - len(failed)} passed, {len(failed)} failed"
          + (f": {failed}" if failed else ""))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
