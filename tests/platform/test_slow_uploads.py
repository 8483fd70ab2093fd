"""Tests that uploads which stop midway do not keep their room in the memory of a node."""

import unittest

from pipelined_caller import PipelinedCaller, request_bytes
from platform_case import PlatformCase

# Two periods of the shortest idle timeout and some processor time fit in it many times.
READ_TIMEOUT_S = 30.0
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutS": 1, "idleTimeoutS": 1}
BODY_BYTES = 1_000_000
SENT_BYTES = 100_000


class SlowUploadsTest(PlatformCase):
    """Callers whose requests have bodies that never arrive whole."""

    first_port = 37000

    # Guards against a body that holds its room until its caller closes the connection.
    def test_refuses_an_upload_that_stops_midway_as_not_run(self):
        self.start_fleet(limits=LIMITS)
        node = self.nodes["orders-ikeja"]
        attempt = self.fleet.next_attempt()
        data = request_bytes("/orders/1", attempt, method="POST", body=b"x" * BODY_BYTES)
        caller = PipelinedCaller(node.caller_port, READ_TIMEOUT_S)
        self.addCleanup(caller.close)
        caller.send(data[:SENT_BYTES])
        response = caller.read_response()
        self.assertIsNotNone(response)
        self.assertEqual(response.status, 408)
        self.assertIsNone(caller.read_response(), "the connection is closed")
        self.assertEqual(self.run_count(attempt), 0)
        self.fleet.wait_until_served("/items/1")


if __name__ == "__main__":
    unittest.main()
