"""Tests that all nodes keep the newest version, in whatever order its records reach them."""

import json
import time
import unittest

from platform_case import RULES, SERVICES, PlatformCase
from platform_fleet import configuration, rule


class ChangeOrderTest(PlatformCase):
    """A route moves between two services from version to version."""

    first_port = 47000

    # The bound for a change, and how long requests are checked after it (s).
    apply_time = 2.0
    check_time = 2.0

    def setUp(self):
        super().setUp()
        self.start_fleet(RULES + [rule("moved", "/moved/", service=SERVICES[1])])

    def write(self, number):
        """Writes a version. Returns when it was acknowledged."""
        rules = RULES + [rule("moved", "/moved/", service=SERVICES[number % 2])]
        self.store.put("op/config", configuration(number, rules, SERVICES))
        return time.monotonic()

    def outdated_nodes(self, number, start):
        """Returns by node how many requests, from a time on, are not handled as a version says."""
        counts = {}
        time.sleep(max(0.0, start - time.monotonic()))
        while time.monotonic() < start + self.check_time:
            for node in self.fleet.nodes:
                attempt = self.fleet.next_attempt()
                node.call(path="/moved/1", attempt=attempt)
                if not any(attempt in u.attempts() for u in self.upstreams(SERVICES[number % 2])):
                    counts[node.name] = counts.get(node.name, 0) + 1
        return counts

    # Guards against an older version that takes the place of a newer one by its later revision.
    def test_keeps_a_version_when_an_older_one_is_written_after_it(self):
        self.write(6)
        acknowledged_at = self.write(7)
        self.assertEqual(self.outdated_nodes(7, acknowledged_at + self.apply_time), {})
        self.write(6)
        self.assertEqual(self.outdated_nodes(7, time.monotonic()), {})

    def lack_change_once(self):
        """Lets the next listing of all records name the current revision with an older version."""
        older = dict(self.store.items["op/config"])

        def replace_response(request, response):
            if request.path != "/api/kv-range" or b'"op/config"' not in response.body:
                return response
            self.store.replace_response = lambda _, current: current
            body = json.loads(response.body)
            body["items"] = [older if i["key"] == "op/config" else i for i in body["items"]]
            return self.store.json_response(200, body)

        self.store.replace_response = replace_response

    # Guards against a change that all nodes drop because one of them names its revision without it.
    def test_applies_a_change_that_the_listing_of_a_restarted_node_lacks(self):
        node = self.fleet.nodes[0]
        node.process.kill()
        self.write(6)
        time.sleep(0.1)
        self.lack_change_once()
        acknowledged_at = self.write(7)
        node.start()
        self.assertEqual(self.outdated_nodes(7, acknowledged_at + self.apply_time), {})


if __name__ == "__main__":
    unittest.main()
