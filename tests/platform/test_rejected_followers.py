"""Tests that changes are in force in time at all nodes while the store rejects its followers."""

import random
import time
import unittest

from platform_case import RULES, SERVICES
from platform_fleet import PlatformFleet, configuration, rule
from store_entrance import StoreEntrance

ZONES = {"gw-a": 4, "gw-b": 3, "gw-c": 3}


class RejectedFollowersTest(unittest.TestCase):
    """Ten nodes in three data centres, each with an address of its own at the store."""

    first_port = 44000

    # The bound for a change in seconds, and how long each node is checked after it.
    apply_time = 2.0
    check_time = 2.0
    rounds = 3

    def setUp(self):
        type(self).first_port += 100
        self.random = random.Random(self.first_port)
        self.fleet = PlatformFleet(self.first_port)
        self.addCleanup(self.fleet.stop)
        self.store = self.fleet.store
        self.entrances = {}
        for zone, count in ZONES.items():
            for number in range(1, count + 1):
                self.add_node(f"sidecar-{zone}-{number}", zone, SERVICES[number % 2])
        self.number = 5
        self.store.put("op/config", configuration(self.number, self.rules(), SERVICES))
        self.fleet.start()
        self.fleet.wait_until_served("/items/1")
        self.fleet.wait_until_upstreams_known()
        self.fleet.wait_until(lambda: len(self.followers()) == len(ZONES), "one follower a zone")

    def add_node(self, name, zone, service):
        node = self.fleet.add_node(name, zone, service)
        entrance = StoreEntrance(self.fleet.event_loop, self.fleet.ports.take(), self.store)
        entrance.start()
        self.addCleanup(entrance.stop)
        self.entrances[name] = entrance
        node.extra_settings = {"platform": f"127.0.0.1:{entrance.port}",
                               "dataCentres": list(ZONES)}

    def followers(self):
        """Returns the entrances of the nodes that have a watch pending."""
        return [e for e in self.entrances.values() if e.pending_watches]

    def service(self):
        """Returns the service of the route that each change moves."""
        return SERVICES[self.number % 2]

    def rules(self):
        return RULES + [rule("moved", "/moved/", service=self.service())]

    def change(self):
        """Moves the route. Returns when the store acknowledged it."""
        self.number += 1
        self.store.put("op/config", configuration(self.number, self.rules(), SERVICES))
        return time.monotonic()

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

    def expect_in_time_while_rejected(self, fault):
        late = []
        for _ in range(self.rounds):
            # It ends the watches of nodes that took the place of rejected ones.
            self.change()
            self.fleet.wait_until(lambda: len(self.followers()) == len(ZONES), "one follower a zone")
            # The followers' probes have a period of about a second.
            time.sleep(self.random.uniform(1.0, 2.0))
            followers = self.followers()
            for entrance in followers:
                entrance.reject(fault)
            late.append(self.late_nodes(self.change()))
            for entrance in followers:
                entrance.reject(None)
            # Nodes that took the place of the followers give it back.
            time.sleep(5.0)
        self.assertEqual(late, [{}] * self.rounds, f"logs in {self.fleet.folder}")

    # Guards against followers that rely on lost watches while the store refuses their probes.
    def test_applies_a_change_while_the_store_refuses_all_followers(self):
        self.expect_in_time_while_rejected("busy")

    # Guards against a probe's time-out and the periods behind it that exceed the bound together.
    def test_applies_a_change_while_the_store_is_silent_for_all_followers(self):
        self.expect_in_time_while_rejected("silent")


if __name__ == "__main__":
    unittest.main()
