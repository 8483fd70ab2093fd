"""Tests that changes reach all nodes although the store leaves watches without a response."""

import time
import unittest

from platform_case import RULES, SERVICES, PlatformCase
from platform_fleet import configuration, rule

MOVED = [rule("items", "/items/", service="orders"),
         rule("orders", "/orders/", kind="unsafe", service="orders")]


class WatchesTest(PlatformCase):
    """The followers' watches are pending when the disruption begins, long after their start."""

    first_port = 27000

    # The time after the end of a disruption until machines count as in touch, and the time in which
    # a change must then be in force.
    stable_window = 3.0
    apply_time = 2.0

    def setUp(self):
        super().setUp()
        self.start_fleet()
        # The nodes that began to watch at their start have handed over to the followers, and the
        # first probes of the followers' present watches are over.
        time.sleep(3.0)
        self.store.put("op/config", configuration(7, RULES, SERVICES))
        time.sleep(3.0)

    def is_moved(self, node):
        """Returns whether a node handles a call as the changed configuration says."""
        attempt = self.fleet.next_attempt()
        node.call(path="/items/1", attempt=attempt)
        return any(attempt in upstream.attempts() for upstream in self.upstreams("orders"))

    def expect_change_in_force(self, since):
        for node in self.fleet.nodes:
            remaining = since + self.stable_window + self.apply_time - time.monotonic()
            self.fleet.wait_until(lambda n=node: self.is_moved(n),
                                  f"the change is in force on {node.name}", max(0.1, remaining))

    # The followers believed in their pending watches for up to 25 s, and their peers in them.
    def test_applies_a_change_made_while_the_store_was_silent(self):
        self.store.fault = "silent"
        time.sleep(0.5)
        self.store.put("op/config", configuration(9, MOVED, SERVICES))
        time.sleep(3.0)
        self.store.fault = None
        self.expect_change_in_force(time.monotonic())

    # A watch whose connection was lost is served no more, while probes on other connections are.
    def test_applies_a_change_after_the_pending_watches_were_lost(self):
        self.store.lose_calls_in_progress()
        self.store.put("op/config", configuration(9, MOVED, SERVICES))
        self.expect_change_in_force(time.monotonic())

    # Guards against a lost watch that is believed in for as long as stale reads show no change.
    def test_applies_a_change_behind_lost_watches_while_cheap_reads_are_stale(self):
        self.store.staleness = 12.0
        self.store.lose_calls_in_progress()
        self.store.put("op/config", configuration(9, MOVED, SERVICES))
        self.expect_change_in_force(time.monotonic())


if __name__ == "__main__":
    unittest.main()
