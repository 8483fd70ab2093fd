"""Tests that an estimate of service times refuses calls for a short time only: calls that are not
sent can not correct it."""

import threading
import time
import unittest

from platform_case import SERVICES, PlatformCase
from platform_fleet import configuration, rule

SLOW_SECONDS = 0.3
FAST_SECONDS = 0.03


class EstimatesTest(PlatformCase):
    """Routes of one service with different service times and time-outs."""

    first_port = 32000

    def setUp(self):
        super().setUp()
        self.ends = threading.Event()
        self.threads = []
        self.addCleanup(self.end_callers)

    def end_callers(self):
        self.ends.set()
        for thread in self.threads:
            thread.join()

    def set_service_time(self, service_time_of):
        for upstream in self.upstreams("items"):
            upstream.service_time_of = service_time_of

    def configure(self, number, rules):
        self.store.put("op/config", configuration(number, rules, SERVICES))

    def keep_calling(self, path, budget, interval=0.1, method="GET"):
        """Calls through each node until the test ends. Returns the list of (time, status)."""
        results = []

        def run(node):
            while not self.ends.is_set():
                try:
                    status = node.call(method, path, budget=budget).status
                except OSError:
                    status = 0
                results.append((time.monotonic(), status))
                time.sleep(interval)

        for node in self.fleet.nodes:
            self.threads.append(threading.Thread(target=run, args=(node,)))
            self.threads[-1].start()
        return results

    def served_share(self, results, since):
        statuses = [status for at, status in results if at >= since]
        self.assertGreater(len(statuses), 20)
        return sum(status == 200 for status in statuses) / len(statuses)

    # The estimate for a route without calls was the average of the others (review/6).
    def test_serves_an_added_route_whose_time_out_is_below_the_others_service_times(self):
        first = rule("slow", "/slow/", service="items", timeout=1.5)
        added = rule("added", "/added/", service="items", timeout=0.25)
        self.start_fleet([first, *self.default_rules()])
        self.set_service_time(
            lambda request: FAST_SECONDS if request.path.startswith("/added/") else SLOW_SECONDS)
        slow = self.keep_calling("/slow/1", 1500)
        time.sleep(3.0)
        self.configure(6, [first, added, *self.default_rules()])
        time.sleep(3.0)
        since = time.monotonic()
        quick = self.keep_calling("/added/1", 500)
        time.sleep(5.0)
        self.assertGreater(self.served_share(slow, since), 0.9)
        self.assertGreater(self.served_share(quick, since + 1.0),
                           self.served_share(slow, since) / 4)

    # The estimate of a route from a time in which its upstreams were slow.
    def check_a_route_whose_time_out_is_shortened_while_upstreams_are_slow(self, kind, method):
        def rules(timeout):
            return [rule("view", "/view/", kind=kind, service="items", timeout=timeout),
                    *self.default_rules()]

        self.start_fleet(rules(1.6))
        self.set_service_time(lambda request: 0.9)
        results = self.keep_calling("/view/1", 1500, method=method)
        time.sleep(4.0)
        self.configure(6, rules(0.6))
        time.sleep(2.5)
        self.set_service_time(lambda request: FAST_SECONDS)
        time.sleep(8.0)
        since = time.monotonic()
        time.sleep(3.0)
        self.assertGreater(self.served_share(results, since), 0.9)

    def test_serves_a_safe_route_again_after_its_upstreams_were_slow(self):
        self.check_a_route_whose_time_out_is_shortened_while_upstreams_are_slow("safe", "GET")

    def test_serves_an_unsafe_route_again_after_its_upstreams_were_slow(self):
        self.check_a_route_whose_time_out_is_shortened_while_upstreams_are_slow("unsafe", "POST")

    @staticmethod
    def default_rules():
        return [rule("items", "/items/", service="items"),
                rule("orders", "/orders/", kind="unsafe", service="orders")]


if __name__ == "__main__":
    unittest.main()
