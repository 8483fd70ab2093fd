"""Tests that requests on connections kept open over changes are handled as the newest one says."""

import time
import unittest

from kept_caller import KeptCaller, read_outcomes, send_all
from pipelined_caller import PipelinedCaller
from platform_case import RULES, SERVICES, PlatformCase
from platform_fleet import configuration, rule

CHANGES = 8

# Service times in seconds: of requests that others wait for, and of ones that last over a change.
SLOW = 0.3
LONG = 3.0


def service_in(number):
    """Returns the service of the route that each change moves."""
    return SERVICES[number % 2]


def has_dropped_route(number):
    """Returns whether a version has the route that every second change drops."""
    return number % 4 < 2


def service_time_of(request):
    if request.path.startswith("/long/"):
        return LONG
    return SLOW if request.path.endswith("/slow") else 0.002


class KeptConnectionsTest(PlatformCase):
    """Each change moves one route; some drop another one or bring it back."""

    first_port = 39000

    def setUp(self):
        super().setUp()
        self.put_at = {}  # when each version was sent to the store
        self.in_force_at = {}  # by version and node: when a new connection had shown it
        self.start_fleet(self.rules(0))
        for node in self.fleet.nodes:
            node.upstream.slots = 40
            node.upstream.service_time_of = service_time_of
        self.instances = {node.upstream.instance: node.service for node in self.fleet.nodes}
        self.put(0)
        self.wait_until_in_force(0)

    @staticmethod
    def rules(number):
        rules = RULES + [rule("moved", "/moved/", service=service_in(number)),
                         rule("moved-unsafe", "/moved-unsafe/", kind="unsafe",
                              service=service_in(number)),
                         rule("long", "/long/", service="items", timeout=6.0)]
        if has_dropped_route(number):
            rules.append(rule("dropped", "/dropped/", service="items"))
        return rules

    def put(self, number):
        self.put_at[number] = time.monotonic()
        self.store.put("op/config", configuration(10 + number, self.rules(number), SERVICES))

    def is_in_force(self, number, node):
        """Returns whether requests on new connections are handled as a version says."""
        moved = node.call(path="/moved/probe")
        dropped = node.call(path="/dropped/probe")
        instance = moved.body.decode().split(" ")[0]
        return (self.instances.get(instance) == service_in(number)
                and dropped.status == (200 if has_dropped_route(number) else 404))

    def wait_until_in_force(self, number):
        for node in self.fleet.nodes:
            self.fleet.wait_until(lambda n=node: self.is_in_force(number, n),
                                  f"version {number} is in force on {node.name}")
            self.in_force_at[number, node.name] = time.monotonic()

    def versions_of(self, outcome):
        """Returns the versions that may have handled a request: the newest one that was in force on
        its node when it was sent, and all that were written before its response."""
        oldest = max(version for (version, name), at in self.in_force_at.items()
                     if name == outcome.node.name and at < outcome.sent_at)
        return [version for version, at in self.put_at.items()
                if version >= oldest and at < outcome.answered_at]

    def fault_of(self, outcome):
        """Returns how an outcome is that of an older version only, or None."""
        versions = self.versions_of(outcome)
        if outcome.path.startswith("/moved"):
            if outcome.status != 200:
                return f"{outcome}: not served"
            service = self.instances[outcome.instance()]
            if service not in [service_in(version) for version in versions]:
                return f"{outcome}: run by {service}, versions {versions}"
        if outcome.path.startswith("/dropped"):
            allowed = [200 if has_dropped_route(version) else 404 for version in versions]
            if outcome.status not in allowed:
                return f"{outcome}: {allowed} expected, versions {versions}"
        return None

    def expect_newest(self, outcomes):
        faults = list(filter(None, map(self.fault_of, outcomes)))
        self.assertEqual(faults[:5], [], f"{len(faults)} of {len(outcomes)}")

    # Guards against decisions that a connection keeps from its earlier requests.
    def test_handles_requests_behind_slow_ones_as_the_version_in_force(self):
        requests = [("GET", "/moved/slow"), ("GET", "/moved/1"), ("GET", "/dropped/1"),
                    ("GET", "/moved/2")]
        effects = [("POST", "/moved-unsafe/slow"), ("GET", "/moved/1"), ("GET", "/dropped/1"),
                   ("POST", "/moved-unsafe/1")]
        callers = [KeptCaller(self.fleet, node, batch)
                   for node in self.fleet.nodes for batch in (requests, effects)]
        for number in range(1, CHANGES + 1):
            self.put(number)
            self.wait_until_in_force(number)
            # Each caller sends at least once by this version.
            time.sleep(2.5 * SLOW)
        for caller in callers:
            caller.finish()
        for caller in callers:
            caller.join()
        outcomes = [outcome for caller in callers for outcome in caller.outcomes]
        failures = [failure for caller in callers for failure in caller.failures]
        bound = sum(len(set(map(service_in, self.versions_of(outcome)))) == 1
                    for outcome in outcomes)
        print(f"{len(outcomes)} requests on kept connections, {bound} bound to one service, "
              f"{len(failures)} connections failed", flush=True)
        self.assertGreater(bound, 100)
        self.assertEqual(failures, [])
        self.expect_newest(outcomes)

    # Guards against requests that are decided when earlier ones of their connection are, which were
    # sent before the change and are still running.
    def test_handles_requests_behind_ones_from_before_the_change_as_the_version_in_force(self):
        before = [("GET", "/long/1")]
        after = [("GET", "/moved/1"), ("GET", "/dropped/1"), ("GET", "/moved/2")]
        overtaken = 0
        for number in range(1, CHANGES // 2 + 1):
            callers = {node: PipelinedCaller(node.caller_port) for node in self.fleet.nodes}
            for caller in callers.values():
                self.addCleanup(caller.close)
                send_all(caller, self.fleet, before)
            self.fleet.wait_until(lambda: self.count_running() == len(callers), "all run")
            self.put(number)
            self.wait_until_in_force(number)
            overtaken += self.count_running()
            sent_at = {node: send_all(caller, self.fleet, after)
                       for node, caller in callers.items()}
            outcomes = []
            for node, caller in callers.items():
                self.assertEqual(caller.read_response().status, 200)
                outcomes += read_outcomes(caller, node, after, sent_at[node])
            self.assertEqual(len(outcomes), len(after) * len(callers))
            self.expect_newest(outcomes)
        print(f"{overtaken} connections with a request from before a change", flush=True)
        self.assertGreater(overtaken, 0)

    def count_running(self):
        return sum(record.finished_at is None and record.cancelled_at is None
                   for node in self.fleet.nodes for record in node.upstream.records)


if __name__ == "__main__":
    unittest.main()
