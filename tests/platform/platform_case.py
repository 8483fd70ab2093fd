"""The fleet that the tests on the platform's interface share."""

import unittest

from platform_fleet import PlatformFleet, configuration, rule

SERVICES = ["items", "orders"]
RULES = [
    rule("items", "/items/", service="items"),
    rule("orders", "/orders/", kind="unsafe", service="orders"),
]


class PlatformCase(unittest.TestCase):
    """Two services in two zones; each test starts a separate fleet without faults."""

    # Each test class sets its own range of ports.
    first_port = 0

    def setUp(self):
        type(self).first_port += 60
        self.fleet = PlatformFleet(self.first_port)
        self.addCleanup(self.fleet.stop)
        self.store = self.fleet.store
        for zone in ("ikeja", "lekki"):
            for service in SERVICES:
                self.fleet.add_node(f"{service}-{zone}", zone, service)
        self.nodes = {node.name: node for node in self.fleet.nodes}

    def start_fleet(self, rules=RULES, limits=None):
        self.store.put("op/config", configuration(5, rules, SERVICES, limits))
        self.fleet.start()
        self.fleet.wait_until_served("/items/1")
        self.fleet.wait_until_served("/orders/1")
        self.fleet.wait_until_upstreams_known()

    def upstreams(self, service):
        return [n.upstream for n in self.fleet.nodes if n.service == service and n.upstream]

    def run_count(self, attempt):
        return sum(n.upstream.attempts().count(attempt) for n in self.fleet.nodes if n.upstream)
