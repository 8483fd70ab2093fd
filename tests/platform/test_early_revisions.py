"""Tests that a change is in force in time although responses name its revision without it."""

import json
import time
import unittest

from platform_case import RULES, SERVICES
from platform_fleet import PlatformFleet, configuration, rule
from store_entrance import StoreEntrance

ZONES = {"gw-a": 2, "gw-b": 2, "gw-c": 2}
CONFIG_KEY = "op/config"


class EarlyRevisionsTest(unittest.TestCase):
    """Six nodes in three data centres, each with an address of its own at the store."""

    first_port = 47000

    # The bound for a change in seconds, and how long each node is checked after it.
    apply_time = 2.0
    check_time = 1.5
    rounds = 3

    def setUp(self):
        type(self).first_port += 100
        self.fleet = PlatformFleet(self.first_port)
        self.addCleanup(self.fleet.stop)
        self.store = self.fleet.store
        self.entrances = {}
        for zone, count in ZONES.items():
            for number in range(1, count + 1):
                self.add_node(f"sidecar-{zone}-{number}", zone, SERVICES[number % 2])
        self.number = 5
        self.store.put(CONFIG_KEY, configuration(self.number, self.rules(), SERVICES))
        self.fleet.start()
        self.fleet.wait_until_served("/items/1")
        self.fleet.wait_until_upstreams_known()
        self.wait_for_followers()

    def add_node(self, name, zone, service):
        node = self.fleet.add_node(name, zone, service)
        entrance = StoreEntrance(self.fleet.event_loop, self.fleet.ports.take(), self.store)
        entrance.start()
        self.addCleanup(entrance.stop)
        self.entrances[name] = entrance
        node.extra_settings = {"platform": f"127.0.0.1:{entrance.port}",
                               "dataCentres": list(ZONES)}

    def wait_for_followers(self):
        """Waits until one node of each data centre has a watch pending."""
        self.fleet.wait_until(
            lambda: sum(e.pending_watches > 0 for e in self.entrances.values()) == len(ZONES),
            "one follower a zone")

    def service(self):
        """Returns the service of the route that each change moves."""
        return SERVICES[self.number % 2]

    def rules(self):
        return RULES + [rule("moved", "/moved/", service=self.service())]

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

    def change(self):
        """Moves the route. Returns when the store acknowledged it."""
        self.number += 1
        document = configuration(self.number, self.rules(), SERVICES)
        self.store.put_all({"op/note": {}, CONFIG_KEY: document})
        return time.monotonic()

    def leave_out_change(self, places):
        """Leaves the next change of the configuration out of the responses at these places among
        those that carry it, as if it came between their events and their revision. Returns the
        list of the responses that carried it."""
        carrying = []

        def replace(request, response):
            if request.path != "/api/kv-watch" or response.status != 200:
                return response
            body = json.loads(response.body)
            kept = [e for e in body["events"] if e["key"] != CONFIG_KEY]
            if len(kept) == len(body["events"]):
                return response
            carrying.append(response)
            if len(carrying) - 1 not in places:
                return response
            body["events"] = kept
            return self.store.json_response(response.status, body)

        self.store.replace_response = replace
        return carrying

    def expect_in_time_when_left_out(self, places):
        late = []
        for _ in range(self.rounds):
            self.wait_for_followers()
            time.sleep(1.5)
            carrying = self.leave_out_change(places)
            late.append(self.late_nodes(self.change()))
            self.assertGreater(len(carrying), max(places), "responses that carried the change")
        self.assertEqual(late, [{}] * self.rounds, f"logs in {self.fleet.folder}")

    # Guards against a node that skips a change and confirms it to the nodes that rely on it.
    def test_applies_a_change_that_the_last_response_left_out(self):
        self.expect_in_time_when_left_out({len(ZONES) - 1})

    # Guards against a fleet that skips a change until the next one.
    def test_applies_a_change_that_the_responses_to_all_followers_left_out(self):
        self.expect_in_time_when_left_out(set(range(len(ZONES))))


if __name__ == "__main__":
    unittest.main()
