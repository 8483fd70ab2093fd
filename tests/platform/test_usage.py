"""Tests that each window is reported with the true counts, also around outages of the store and
planned stops."""

import json
import signal
import subprocess
import time
import unittest

from fleet import BUILD, TOKEN, http as get_text
from known_red import known_red
from usage_case import LEASE, UsageCase


class UsageTest(UsageCase):
    """Four nodes, one of which holds the duty."""

    first_port = 26000

    def setUp(self):
        super().setUp()
        self.start_reporting()

    # Counts that are wrong, sent twice or missing are billed.
    def test_reports_each_window_with_the_true_counts(self):
        self.wait_for_reports(5)
        self.finish_and_wait_for_last_report()
        self.check_reports()
        self.check_counts()
        self.check_totals()
        self.assertEqual(len(self.receiver.holders_of_tokens()), 1)

    # Windows wait for the store; nothing is sent that it does not hold.
    def test_windows_wait_while_the_store_is_out_of_service(self):
        for fault in ("out", "silent"):
            with self.subTest(fault=fault):
                self.wait_for_reports(2)
                self.store.fault = fault
                time.sleep(LEASE + 2.0)
                reported = len(self.receiver.reports())
                time.sleep(1.0)
                self.assertEqual(len(self.receiver.reports()), reported)
                self.store.fault = None
                self.wait_for_reports(6, timeout=60.0)
        self.finish_and_wait_for_last_report(timeout=60.0)
        self.check_reports()
        self.check_counts()
        self.check_totals()

    # A commit whose response is lost may have been executed.
    def test_resolves_writes_whose_responses_are_lost(self):
        self.wait_for_reports(2)
        self.store.fault = "lost"
        time.sleep(3.0)
        self.store.fault = None
        self.wait_for_reports(5, timeout=60.0)
        self.finish_and_wait_for_last_report(timeout=60.0)
        self.check_reports()
        self.check_counts()

    # Operators must see who holds the duty and how far it has come.
    def test_shows_the_state_to_operators(self):
        self.wait_for_reports(2)
        holder = self.holder()
        report = self.usage(holder)
        self.assertEqual(report["holder"]["node"], holder.name)
        self.assertEqual(report["token"], self.receiver.highest_token)
        self.assertGreaterEqual(report["reportedThrough"], min(self.receiver.reports()))
        code, _ = get_text("GET", holder.operator_port, "/v1/usage", token=None)
        self.assertEqual(code, 401)
        self.fleet.wait_until(
            lambda: holder.metrics()["usage_reported_through"] >= report["reportedThrough"],
            "the gauge shows the last reported window")
        self.assertGreater(holder.metrics()["usage_reports_accepted"], 0)
        text = self.run_command("usage")
        self.assertIn(f"{holder.name} holds the duty with token {report['token']}", text)

    def run_command(self, name):
        path = self.fleet.folder / "operator.json"
        path.write_text(json.dumps({
            "operator": "tester", "operatorToken": TOKEN,
            "platform": {"host": "127.0.0.1", "port": self.store.port},
            "nodes": [{"host": "127.0.0.1", "port": n.operator_port} for n in self.fleet.nodes]}))
        result = subprocess.run([BUILD / "boragetrack", name, "--settings", path],
                                capture_output=True, text=True, timeout=20, check=False)
        self.assertEqual(result.returncode, 0, result.stderr)
        return result.stdout


class UsageStopTest(UsageCase):
    """A planned stop takes less than the second between two messages with counts."""

    first_port = 26800
    more_settings = {"graceSeconds": 2}

    # The platform stops nodes in each update; the counts since their last message were lost.
    def test_planned_stops_lose_no_counts(self):
        self.start_reporting()
        for node in self.fleet.nodes + [self.holder()]:
            with self.subTest(node=node.name, holder=node is self.holder()):
                self.finish_callers()
                self.start_callers([n for n in self.fleet.nodes if n is not node])
                self.wait_for_reports(2)
                node.process.signal(signal.SIGTERM)
                self.assertIsNotNone(node.process.wait(10.0))
                node.start()
                self.fleet.wait_until(node.is_ready, f"{node.name} is ready again")
        self.wait_for_reports(3)
        self.finish_and_wait_for_last_report()
        self.check_reports()
        with known_red(self, 22):
            self.check_totals()


if __name__ == "__main__":
    unittest.main()
