"""Tests that the duty of usage reports passes on when its holder fails, and that no window is
reported with two contents."""

import random
import signal
import time
import unittest

from usage_case import LEASE, UsageCase


class UsageDutyTest(UsageCase):
    """Four nodes, one of which holds the duty."""

    first_port = 26500

    def setUp(self):
        super().setUp()
        self.start_reporting()

    # A successor must neither change what was reported nor omit what was not.
    def test_a_successor_continues_when_the_holder_is_killed(self):
        self.wait_for_reports(2)
        holder = self.holder()
        token = self.receiver.highest_token
        killed_at = time.monotonic()
        holder.process.kill()
        self.fleet.wait_until(lambda: self.receiver.highest_token > token, "a successor reports",
                              timeout=30.0)
        self.wait_for_reports(4)
        self.finish_and_wait_for_last_report()
        self.check_reports()
        self.assertEqual(self.receiver.alternations(LEASE), [])
        # The counts of the killed node's last second are lost with it.
        affected = range(self.window_of(killed_at) - 2, self.window_of(killed_at) + 2)
        self.check_counts(lambda window: window not in affected)

    # A holder that goes on after a pause longer than its lease is not the holder any more, though
    # it has not noticed.
    def test_a_paused_holder_sends_nothing_after_its_successor(self):
        for pause in (LEASE + 2.0, LEASE + 0.3):
            with self.subTest(pause=pause):
                self.wait_for_reports(2)
                holder = self.holder()
                token = self.receiver.highest_token
                holder.process.signal(signal.SIGSTOP)
                time.sleep(pause)
                holder.process.signal(signal.SIGCONT)
                self.fleet.wait_until(lambda t=token: self.receiver.highest_token > t,
                                      "a successor reports", timeout=30.0)
                self.wait_for_reports(3)
        self.finish_and_wait_for_last_report()
        tokens = [call.token for call in self.receiver.arrivals]
        self.assertEqual(tokens, sorted(tokens), "a call with a token that was superseded")
        self.check_reports()
        self.assertEqual(self.receiver.alternations(LEASE), [])

    # A holder that the receiver does not respond to gives way to one that it may respond to.
    def test_a_holder_without_responses_gives_up_the_duty(self):
        silenced = self.holder().name
        self.receiver.fault_of = lambda call: "silent" if call.holder == silenced else None
        token = self.receiver.highest_token
        self.fleet.wait_until(lambda: self.receiver.highest_token > token,
                              "another node reports", timeout=40.0)
        self.wait_for_reports(2)
        self.finish_and_wait_for_last_report(timeout=60.0)
        self.check_reports()
        self.check_counts()

    # A call without a response may have been executed, or be executed after its successors.
    def test_repeats_reports_exactly_when_responses_are_lost_or_late(self):
        chance = random.Random(11)
        faults = [None, None, "lost", "out", 0.3, 1.5, 4.0]
        self.receiver.fault_of = lambda call: chance.choice(faults)
        self.wait_for_reports(8, timeout=60.0)
        self.receiver.fault_of = lambda call: None
        self.finish_and_wait_for_last_report(timeout=60.0)
        time.sleep(4.0)
        self.check_reports()
        self.check_counts()


if __name__ == "__main__":
    unittest.main()
