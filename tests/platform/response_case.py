"""The fleet of the tests that write the bytes of responses themselves."""

import http.client
import itertools
import time
from concurrent.futures import ThreadPoolExecutor

from platform_case import RULES, PlatformCase
from platform_fleet import ReceivedResponse


class ResponseCase(PlatformCase):
    """Upstreams whose responses a test writes."""

    def start_fleet(self, rules=RULES, **options):
        super().start_fleet(rules, **options)
        for node in self.fleet.nodes:
            node.upstream.service_time = 0.0

    def respond(self, make_response):
        """Makes all upstreams respond as a function of the request says; as usual for None."""
        for node in self.fleet.nodes:
            node.upstream.override_response = make_response

    def call_each(self, calls, parallel=8):
        """Makes calls (method, path, body if any). Returns (call, status, body) of each."""
        with ThreadPoolExecutor(parallel) as pool:
            results = list(pool.map(self.call_until_run, calls))
        return [(call[:2], response.status, response.body)
                for call, response in zip(calls, results)]

    def call_until_run(self, call):
        """Calls through one node after another until an upstream has run the call.

        Returns the response to that call.
        """
        for node in itertools.islice(itertools.cycle(self.fleet.nodes), 200):
            attempt = self.fleet.next_attempt()
            try:
                response = node.call(*call, attempt=attempt)
            except http.client.BadStatusLine as error:
                response = ReceivedResponse(error.line, {}, b"")
            if self.run_count(attempt):
                return response
            # An upstream may close a kept connection while a request is on its way to it.
            self.assertIn(response.status, (502, 503))
            time.sleep(0.05)
        raise AssertionError(f"no upstream has run {call[:2]}")

    def upstreams_in(self, zone):
        return [node.upstream for node in self.fleet.nodes if node.zone == zone]

    def receives_no_calls(self, upstreams):
        """Calls through all nodes. Returns whether none of the given upstreams ran a call."""
        before = [len(upstream.runs) for upstream in upstreams]
        statuses = []
        for node in self.fleet.nodes:
            for path in ("/items/1", "/orders/1"):
                try:
                    statuses.append(node.call(path=path).status)
                except OSError:
                    statuses.append(0)  # the node is starting
        # Without the configuration, a node that starts responds with 503.
        self.assertNotIn(404, statuses)
        return before == [len(upstream.runs) for upstream in upstreams]
