"""Tests that the operator's configuration is in force after the store came back from a copy."""

import time
import unittest

from platform_case import RULES, SERVICES
from platform_fleet import PlatformFleet, configuration, rule

ZONES = {"gw-a": 2, "gw-b": 2, "gw-c": 2}
CONFIG_KEY = "op/config"


class StoreCopiesTest(unittest.TestCase):
    """Six nodes in three data centres, and a store that loses its latest writes."""

    first_port = 48000

    # The bound for a change in seconds, and how long each node is checked after it.
    apply_time = 2.0
    check_time = 1.5

    # How many changes the copy lacks, and how long the store is away in seconds.
    lost_changes = 4
    away_time = 0.4

    def setUp(self):
        type(self).first_port += 100
        self.fleet = PlatformFleet(self.first_port)
        self.addCleanup(self.fleet.stop)
        self.store = self.fleet.store
        for zone, count in ZONES.items():
            for number in range(1, count + 1):
                node = self.fleet.add_node(f"sidecar-{zone}-{number}", zone, SERVICES[number % 2])
                node.extra_settings = {"dataCentres": list(ZONES)}
        self.number = 5

    def start(self):
        self.change()
        self.fleet.start()
        self.fleet.wait_until_served("/items/1")
        self.fleet.wait_until_upstreams_known()
        time.sleep(3.0)

    def service(self):
        """Returns the service of the route that each change moves."""
        return SERVICES[self.number % 2]

    def write(self):
        """Writes the configuration. Returns when the store acknowledged it."""
        moved = rule("moved", "/moved/", service=self.service())
        self.store.put(CONFIG_KEY, configuration(self.number, RULES + [moved], SERVICES))
        return time.monotonic()

    def change(self):
        """Moves the route. Returns when the store acknowledged it."""
        self.number += 1
        return self.write()

    def is_in_force(self, node):
        attempt = self.fleet.next_attempt()
        node.call(path="/moved/1", attempt=attempt)
        return any(attempt in n.upstream.attempts() for n in self.fleet.nodes
                   if n.service == self.service())

    def late_nodes(self, acknowledged_at):
        """Returns the nodes that handle a request as an older version says after the bound, and how
        late it was sent in seconds."""
        late = {}
        time.sleep(max(0.0, acknowledged_at + self.apply_time - time.monotonic()))
        while time.monotonic() < acknowledged_at + self.apply_time + self.check_time:
            for node in self.fleet.nodes:
                sent_at = time.monotonic()
                if not self.is_in_force(node):
                    late[node.name] = round(sent_at - acknowledged_at, 2)
        return late

    def lose_changes(self):
        """Makes the store forget some changes that all nodes have in force."""
        time.sleep(2.0)
        begun = time.monotonic()
        for _ in range(self.lost_changes):
            self.change()
            time.sleep(0.3)
        time.sleep(1.0)
        self.store.come_back_from_copy(time.monotonic() - begun + 0.2, self.away_time)

    def expect_in_time_after_copy(self):
        self.start()
        late = []
        for _ in range(2):
            self.lose_changes()
            late.append(self.late_nodes(self.write()))
            late.append(self.late_nodes(self.change()))
        self.assertEqual(late, [{}] * len(late), f"logs in {self.fleet.folder}")

    # Guards against nodes that ignore changes whose revisions a store gives out again.
    def test_applies_changes_after_revisions_went_back(self):
        self.store.era = 1
        self.expect_in_time_after_copy()

    # Guards against nodes that notice it only from a store that tells.
    def test_applies_changes_after_revisions_went_back_without_a_word(self):
        self.expect_in_time_after_copy()


if __name__ == "__main__":
    unittest.main()
