"""Tests of calls through nodes whose event loops are late, as they have a small share of a core."""

import time
import unittest
from collections import Counter

from open_caller import OpenCaller
from outcome import UNKNOWN
from platform_case import PlatformCase
from throttle import Throttle


class LateLoopsTest(PlatformCase):
    """Planned stops in series beside nodes that get their processor time in slices."""

    first_port = 28000
    seed = 33
    seconds = 11.0
    slow_callers = 16
    fast_callers = 8
    # Nodes that are not throttled send calls while the throttled ones handle events.
    throttled_service = "orders"
    on, off = 0.005, 0.25
    budgets = (0.7, 1.0)
    service_times = (0.1, 0.8)
    # Fast calls keep the loops busy, so that slices end while they handle events.
    fast_service_times = (0.001, 0.003)
    pauses = (0.0, 0.02)

    def start_load(self):
        for node in self.fleet.nodes:
            node.upstream.slots = 64
            node.upstream.service_time_of = lambda request: float(
                request.path.rsplit("/", 1)[1]) / 1000
        time.sleep(0.5)
        throttles = [Throttle(node.process, f"{self.seed}-{node.name}", self.on, self.off)
                     for node in self.fleet.nodes if node.service == self.throttled_service]
        for throttle in throttles:
            self.addCleanup(throttle.end)
        return ([self.caller(node, f"slow-{number}", self.service_times)
                 for node in self.fleet.nodes for number in range(self.slow_callers)]
                + [self.caller(node, f"fast-{number}", self.fast_service_times)
                   for node in self.fleet.nodes for number in range(self.fast_callers)])

    def caller(self, node, name, service_times):
        return OpenCaller(self.fleet, node, f"{self.seed}-{node.name}-{name}", self.budgets,
                          service_times, self.pauses)

    def stop_one_after_another(self, end):
        """Stops and restarts the nodes in turn until a time; a stop lasts as long as it takes."""
        while True:
            for node in self.fleet.nodes:
                if time.monotonic() > end:
                    return
                node.process.terminate()
                self.assertIsNotNone(node.process.wait(15.0), f"{node.name} stops in time")
                node.start()
                time.sleep(0.3)

    def violations(self, outcomes):
        """Returns a line for each request that was lost although it ran."""
        runs = {}
        for node in self.fleet.nodes:
            for run in node.upstream.records:
                runs.setdefault(run.attempt, []).append(run)
        lines = []
        for outcome in outcomes:
            run = max(runs.get(outcome.attempt, []), key=lambda r: r.started_at, default=None)
            if run is None:
                continue
            is_early = outcome.status in UNKNOWN and outcome.is_early()
            if outcome.status is None or is_early:
                lines.append(f"{outcome}; {run.describe(outcome.sent_at)}")
        return lines

    def test_no_request_that_ran_is_lost_before_its_deadline_around_planned_stops(self):
        self.start_fleet()
        callers = self.start_load()
        self.stop_one_after_another(time.monotonic() + self.seconds)
        for caller in callers:
            caller.finish()
        for caller in callers:
            caller.join()
        outcomes = [outcome for caller in callers for outcome in caller.outcomes]
        statuses = Counter(outcome.status for outcome in outcomes)
        lines = self.violations(outcomes)
        print(f"{len(outcomes)} requests, {len(lines)} lost, statuses {dict(statuses)}")
        self.assertGreater(statuses[200], 100)
        self.assertEqual(lines, [], f"logs in {self.fleet.folder}")


if __name__ == "__main__":
    unittest.main()
