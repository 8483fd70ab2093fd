"""Tests that upstreams which are slow do not let callers exhaust the memory of a node.

The crowd and the bounds are those of clients that read slowly.
"""

import time
import unittest

from asyncserver import Response
from pipelined_caller import request_bytes
from slow_reader_case import CLIENTS, MEGABYTE, RESPONSE_BYTES, SlowReaderCase
from upstream import ATTEMPT, STAMP

BUDGET_MS = 2500
# The upstream sends a response within some seconds.
PIECE_BYTES = 64 * 1024
PIECE_S = 0.05
# The limit of the configuration that the tests use is 1 MiB.
UPLOAD_BYTES = 1 * MEGABYTE
RUN_S = 2.0


class SlowUpstreamsTest(SlowReaderCase):
    """Clients whose responses or requests a node has to hold for as long as an upstream takes."""

    first_port = 36500

    @staticmethod
    def respond_slowly(request):
        if request.path != "/items/large":
            return None
        return Response(200, b"x" * RESPONSE_BYTES,
                        {ATTEMPT: request.header(ATTEMPT), STAMP: "s.1"},
                        piece_bytes=PIECE_BYTES, pause=PIECE_S)

    def repeat(self, caller, end, **options):
        """Sends one request after the other on new connections, reading each response."""
        while time.monotonic() < end:
            caller.send(request_bytes("/items/large", self.fleet.next_attempt(), budget=BUDGET_MS,
                                      **options))
            caller.read_response()
            caller.close()
            caller = self.connect(self.near)
            if caller is None:
                return

    # Guards against parts of responses that are held until the last byte has arrived.
    def test_bounds_the_memory_for_responses_that_arrive_slowly(self):
        self.near.upstream.override_response = self.respond_slowly
        self.near.upstream.slots = CLIENTS
        self.play(lambda number, end: self.repeat(self.connect(self.near), end))

    # Guards against whole bodies that are held for as long as their requests run or wait.
    def test_bounds_the_memory_for_whole_uploads_to_an_upstream_that_takes_long(self):
        self.near.upstream.override_response = lambda request: None
        self.near.upstream.service_time_of = lambda request: (
            RUN_S if request.path.endswith("large") else 0.005)

        def act(number, end):
            self.repeat(self.connect(self.near), end, method="POST", body=b"x" * UPLOAD_BYTES)

        self.play(act)

    # Guards against whole bodies of requests that wait behind others on their connections.
    def test_bounds_the_memory_for_whole_uploads_whose_responses_nobody_reads(self):
        self.near.upstream.override_response = lambda request: None

        def act(number, end):
            caller = self.connect(self.near)
            caller.send(*(request_bytes("/items/large", self.fleet.next_attempt(),
                                        budget=BUDGET_MS, method="POST",
                                        body=b"x" * UPLOAD_BYTES) for _ in range(6)))
            time.sleep(max(0.0, end - time.monotonic()))

        self.play(act)


if __name__ == "__main__":
    unittest.main()
