"""Tests of planned stops of a node on the platform's interface."""

import collections
import http.client
import re
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from platform_case import PlatformCase
from platform_fleet import rule

# Routes whose calls may last longer than a planned stop.
SLOW_RULES = [rule("items", "/items/", service="items", timeout=30.0),
              rule("orders", "/orders/", kind="unsafe", service="orders", timeout=30.0)]


class ShutdownTest(PlatformCase):
    """Planned stops with calls in progress."""

    first_port = 27000

    def test_planned_stop_logs_each_call_that_it_cuts(self):
        self.start_fleet(SLOW_RULES)
        for upstream in self.upstreams("orders"):
            upstream.service_time = 20.0
        node = self.nodes["items-ikeja"]
        attempt = self.fleet.next_attempt()

        def call():
            try:
                node.call("POST", "/orders/1", b"x", attempt=attempt, budget=25000, timeout=25)
            except (OSError, http.client.HTTPException):
                pass

        caller = threading.Thread(target=call)
        caller.start()
        self.fleet.wait_until(lambda: self.run_count(attempt) == 1, "the call is running")
        node.process.terminate()
        self.assertEqual(node.process.wait(8.0), 0)
        caller.join()
        log = node.log_text()
        self.assertIn(f"E505 call cut request={attempt}", log)
        self.assertRegex(log, "E102 node stopped drained=no links=[a-z]+ ms=[0-9]+ cut=1")

    def test_planned_stops_lose_no_call_that_peers_send(self):
        self.start_fleet()
        statuses = collections.Counter()
        is_over = threading.Event()

        def call_through(node):
            while not is_over.is_set():
                statuses[node.call("POST", "/orders/1", b"x").status] += 1

        callers = [threading.Thread(target=call_through, args=(self.nodes[name],))
                   for name in ("items-ikeja", "items-lekki") for _ in range(6)]
        for caller in callers:
            caller.start()
        try:
            for name in ("orders-ikeja", "orders-lekki") * 2:
                node = self.nodes[name]
                node.process.terminate()
                self.assertEqual(node.process.wait(8.0), 0)
                node.start()
                self.fleet.wait_until_served("/orders/1")
                self.fleet.wait_until_upstreams_known()
        finally:
            is_over.set()
            for caller in callers:
                caller.join()
        self.assertGreater(statuses[200], 0, statuses)
        self.assertEqual(statuses[502], 0, statuses)
        for name in ("items-ikeja", "items-lekki"):
            self.assertNotRegex(self.nodes[name].log_text(), "E502 .*([Dd]isconnected|reset)")
        for name in ("orders-ikeja", "orders-lekki"):
            stops = re.findall("E102 .* links=([a-z]+)", self.nodes[name].log_text())
            self.assertEqual(stops, ["closed", "closed"], name)

    def test_planned_stop_lets_calls_end_within_the_grace_period_of_the_settings(self):
        for node in self.fleet.nodes:
            node.extra_settings = {"graceSeconds": 9}
        self.start_fleet(SLOW_RULES)
        for upstream in self.upstreams("orders"):
            upstream.service_time = 6.0
        node = self.nodes["items-ikeja"]
        attempt = self.fleet.next_attempt()
        with ThreadPoolExecutor(1) as pool:
            response = pool.submit(node.call, "POST", "/orders/1", b"x", attempt=attempt,
                                   budget=8000, timeout=9)
            self.fleet.wait_until(lambda: self.run_count(attempt) == 1, "the call is running")
            node.process.terminate()
            self.assertEqual(response.result().status, 200)
        self.assertEqual(node.process.wait(9.0), 0)

    # KNOWN-RED 13: the calls that a running call makes were refused like new ones.
    def test_planned_stop_serves_the_calls_of_a_running_call(self):
        for node in self.fleet.nodes:
            node.extra_settings = {"graceSeconds": 9}
        self.start_fleet(SLOW_RULES)
        for upstream in self.upstreams("orders"):
            upstream.service_time = 5.0
        attempt = self.fleet.next_attempt()
        with ThreadPoolExecutor(1) as pool:
            response = pool.submit(self.nodes["items-ikeja"].call, "POST", "/orders/1", b"x",
                                   attempt=attempt, budget=8000, timeout=9)
            self.fleet.wait_until(lambda: self.run_count(attempt) == 1, "the call is running")
            node = next(n for n in self.fleet.nodes if attempt in n.upstream.attempts())
            node.process.terminate()
            # New calls are refused by then.
            time.sleep(3.0)
            self.assertEqual(node.call("GET", "/items/1").status, 503)
            self.assertEqual(node.call("GET", "/items/1", attempt=f"{attempt}.1").status, 200)
            self.assertEqual(response.result().status, 200)
        self.assertEqual(node.process.wait(9.0), 0)

    def test_planned_stop_leaves_time_for_calls_in_a_short_grace_period(self):
        for node in self.fleet.nodes:
            node.extra_settings = {"graceSeconds": 3}
        self.start_fleet(SLOW_RULES)
        node = self.nodes["items-ikeja"]
        node.process.terminate()
        self.assertEqual(node.process.wait(3.0), 0)
        self.assertIn("E102 node stopped drained=yes", node.log_text())


if __name__ == "__main__":
    unittest.main()
