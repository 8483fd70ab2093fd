"""Tests that a change is in force in time although listings name its revision without it."""

import json
import time
import unittest

from platform_case import RULES, SERVICES, PlatformCase
from platform_fleet import configuration, rule

CONFIG_KEY = "op/config"
MOVED = RULES + [rule("moved", "/moved/", service="orders")]
OLDER = RULES + [rule("moved", "/moved/", service="items")]


class EarlyListingsTest(PlatformCase):
    """The first listing of each node has the configuration from before the last change."""

    first_port = 53000

    # The bound for a change in seconds, and how long each node is checked after it.
    apply_time = 2.0
    check_time = 1.0

    def setUp(self):
        super().setUp()
        self.store.put(CONFIG_KEY, configuration(5, OLDER, SERVICES))
        self.older = dict(self.store.items[CONFIG_KEY])
        self.early_listings = 0
        self.listings = 0

    def list_early(self):
        """Lets the next listing of each node come from before the last change, with the revision
        after it."""
        remaining = len(self.fleet.nodes)

        def replace(request, response):
            if request.path != "/api/kv-range" or response.status != 200:
                return response
            body = json.loads(response.body)
            if not any(item["key"] == CONFIG_KEY for item in body["items"]):
                return response
            self.listings += 1
            if self.early_listings >= remaining:
                return response
            self.early_listings += 1
            body["items"] = [self.older if item["key"] == CONFIG_KEY else item
                             for item in body["items"]]
            return self.store.json_response(response.status, body)

        self.store.replace_response = replace

    def is_moved(self, node):
        attempt = self.fleet.next_attempt()
        node.call(path="/moved/1", attempt=attempt)
        return any(attempt in upstream.attempts() for upstream in self.upstreams("orders"))

    def expect_change_in_force(self):
        """Starts the fleet, and expects the change on all nodes after the bound."""
        self.fleet.start()
        for node in self.fleet.nodes:
            self.fleet.wait_until(node.is_ready, f"{node.name} is ready")
        started_at = time.monotonic()
        self.fleet.wait_until_served("/items/1")
        self.fleet.wait_until_upstreams_known()
        time.sleep(max(0.0, started_at + self.apply_time - time.monotonic()))
        late = set()
        end = time.monotonic() + self.check_time
        while time.monotonic() < end:
            late.update(n.name for n in self.fleet.nodes if not self.is_moved(n))
        self.assertEqual(late, set(), f"logs in {self.fleet.folder}")
        self.assertEqual(self.early_listings, len(self.fleet.nodes))

    # Guards against a fleet that serves an older version until the next change since its listings
    # named the revision of the last one.
    def test_applies_a_change_that_the_listings_of_all_nodes_left_out(self):
        self.store.put(CONFIG_KEY, configuration(6, MOVED, SERVICES))
        self.list_early()
        self.expect_change_in_force()

    # Guards against the same where the store can't tell what changed after the listings.
    def test_applies_a_change_that_the_listings_left_out_and_the_history_lacks(self):
        self.store.put(CONFIG_KEY, configuration(6, MOVED, SERVICES))
        self.store.compact_history()
        self.list_early()
        self.expect_change_in_force()

    # Guards against listings one after the other when a removal, which leaves no record, was last.
    def test_lists_once_when_the_last_change_was_a_removal(self):
        self.store.put("op/evacuate/lekki", {})
        self.store.put(CONFIG_KEY, configuration(6, MOVED, SERVICES))
        self.store.remove("op/evacuate/lekki")
        self.list_early()
        self.expect_change_in_force()
        self.assertEqual(self.listings, len(self.fleet.nodes))


if __name__ == "__main__":
    unittest.main()
