"""Tests that the log lines of running nodes name the intent in force."""

import unittest

from platform_case import RULES, SERVICES, PlatformCase
from platform_fleet import configuration, rule

MOVED = [rule("items", "/items/", service="orders"), *RULES[1:]]


class IntentLinesTest(PlatformCase):
    """Guards against logs that cannot tell by which configuration a node decided."""

    first_port = 45000

    def lines(self, node, event):
        return [line for line in node.log_text().splitlines() if f" {event} " in line]

    def change(self, number, rules):
        self.store.put("op/config", configuration(number, rules, SERVICES))
        for node in self.fleet.nodes:
            self.fleet.wait_until(
                lambda n=node: any(f" intentNumber={number} " in line
                                   for line in self.lines(n, "INFO E200")),
                f"configuration {number} is in force on {node.name}")

    def test_lines_of_changes_calls_and_unreachable_peers_name_the_number_in_force(self):
        self.start_fleet()
        self.change(6, MOVED)
        node, other = self.fleet.nodes[:2]
        self.assertRegex(self.lines(node, "INFO E200")[-1], " previousNumber=5 .* sinceProofMs=[0-9]+ ")
        self.assertEqual(node.call(path="/items/1", attempt="named").status, 200)
        line = self.fleet.wait_for_line("E500 call ended request=named ")
        self.assertRegex(line, " intentNumber=6 .* intentMs=[0-9]+ ")
        other.process.kill()
        self.fleet.wait_until(lambda: self.lines(node, "WARN E321"), "the peer is unreachable")
        self.assertRegex(self.lines(node, "WARN E321")[0], " intentNumber=6 intentMs=[0-9]+$")

    def test_calls_on_a_route_that_was_just_moved_are_logged_beyond_the_limit(self):
        self.start_fleet()
        node = self.fleet.nodes[0]
        self.change(6, MOVED)
        for _ in range(60):
            node.call(path="/orders/1")
        attempts = [f"moved{number}" for number in range(8)]
        for attempt in attempts:
            self.assertEqual(node.call(path="/items/1", attempt=attempt).status, 200)
        for attempt in attempts:
            self.fleet.wait_for_line(f"E500 call ended request={attempt} ")
            self.fleet.wait_for_line(f"E510 call served request={attempt} ")


if __name__ == "__main__":
    unittest.main()
