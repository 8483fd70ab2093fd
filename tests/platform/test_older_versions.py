"""Tests that a configuration stays in force when the store gets an older one after it."""

import time
import unittest

from platform_case import RULES, SERVICES, PlatformCase
from platform_fleet import configuration, rule

CONFIG_KEY = "op/config"
MOVED = RULES + [rule("moved", "/moved/", service="orders")]
OLDER = RULES + [rule("moved", "/moved/", service="items")]


class OlderVersionsTest(PlatformCase):
    """The newer version moves a route from one service to the other."""

    first_port = 51000

    # The bound for a change in seconds, and how long each node is checked.
    apply_time = 2.0
    check_time = 2.0

    def setUp(self):
        super().setUp()
        self.start_fleet(rules=OLDER)
        time.sleep(2.0)
        self.store.put(CONFIG_KEY, configuration(9, MOVED, SERVICES))
        time.sleep(self.apply_time)
        self.assertEqual(self.reverted_nodes(0.0), set(), "the newer version is in force")

    def service_of_call(self, node):
        """Returns the service that ran a call through a node on the moved route, or "none"."""
        attempt = self.fleet.next_attempt()
        status = node.call(path="/moved/1", attempt=attempt).status
        self.assertNotEqual(status, 404, f"route of both versions at {node.name}")
        services = [s for s in SERVICES for u in self.upstreams(s) if attempt in u.attempts()]
        return services[0] if services else "none"

    def reverted_nodes(self, duration):
        """Returns the nodes that handle a request as the older version says, within some seconds.
        At the end, all others handle one as the newer version says."""
        reverted = set()
        end = time.monotonic() + duration
        while time.monotonic() < end:
            reverted.update(n.name for n in self.fleet.nodes
                            if self.service_of_call(n) == "items")
        return reverted | {n.name for n in self.fleet.nodes if self.service_of_call(n) != "orders"}

    def write_older_version(self):
        self.store.put(CONFIG_KEY, configuration(7, OLDER, SERVICES))

    def restart(self, node):
        node.process.terminate()
        node.process.wait()
        node.start()
        self.fleet.wait_until(node.is_ready, f"{node.name} is ready")

    # Guards against nodes that go back to an older version since its revision is later.
    def test_keeps_the_newer_version_when_an_older_one_is_written_after_it(self):
        self.write_older_version()
        self.assertEqual(self.reverted_nodes(self.check_time), set(), self.fleet.folder)
        refused = [n for n in self.fleet.nodes if "E201" in n.log_text()]
        self.assertEqual(len(refused), len(self.fleet.nodes), "refusals in the logs")
        self.assertIn("r7", refused[0].log_text())
        self.assertIn("r9", refused[0].log_text())

    # Guards against a node that can't go on after a refused version.
    def test_applies_the_next_version_after_an_older_one(self):
        self.write_older_version()
        time.sleep(1.0)
        final = RULES + [rule("moved", "/moved/", service="items")]
        self.store.put(CONFIG_KEY, configuration(12, final, SERVICES))
        time.sleep(self.apply_time)
        self.assertEqual({self.service_of_call(n) for n in self.fleet.nodes}, {"items"})

    # Guards against a node that starts with the older version of the store, while its peers keep
    # the newer one.
    def test_learns_the_newer_version_from_its_peers_after_a_restart(self):
        self.write_older_version()
        time.sleep(1.0)
        for node in self.fleet.nodes:
            self.restart(node)
            self.assertEqual(self.reverted_nodes(1.0), set(),
                             f"after the restart of {node.name}; logs in {self.fleet.folder}")

    # Guards against an older version that reaches the peers by way of a node that has restarted.
    def test_keeps_the_newer_version_when_a_node_restarts_during_the_write(self):
        node = self.fleet.nodes[0]
        node.process.terminate()
        node.process.wait()
        self.write_older_version()
        node.start()
        self.fleet.wait_until(node.is_ready, f"{node.name} is ready")
        self.assertEqual(self.reverted_nodes(self.check_time), set(), self.fleet.folder)


if __name__ == "__main__":
    unittest.main()
