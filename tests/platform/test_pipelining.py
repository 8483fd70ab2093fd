"""Tests of requests that callers send on one connection before earlier ones are answered."""

import time
import unittest

from pipelined_caller import PipelinedCaller, request_bytes
from platform_case import PlatformCase


class PipeliningTest(PlatformCase):
    """Requests of one connection to one node; the upstreams have room for all of them."""

    first_port = 26000

    def connect(self):
        caller = PipelinedCaller(self.nodes["items-ikeja"].caller_port)
        self.addCleanup(caller.close)
        return caller

    def set_service_times(self, times):
        """Sets the service times (s) of paths; others take none."""
        for node in self.fleet.nodes:
            node.upstream.service_time_of = lambda request: times.get(request.path, 0.0)

    def records(self):
        """Returns the records of all runs by attempt; fails if an attempt ran twice."""
        result = {}
        for node in self.fleet.nodes:
            for record in node.upstream.records:
                self.assertNotIn(record.attempt, result)
                result[record.attempt] = record
        return result

    def assert_answers(self, caller, paths):
        """Reads successes and checks that they belong to requests for these paths in this order.
        Returns their Connection fields."""
        closes = []
        for path in paths:
            response = caller.read_response()
            self.assertIsNotNone(response, path)
            self.assertEqual(response.status, 200, response.body)
            self.assertIn(f" {path} ".encode(), response.body)
            closes.append(response.headers.get("Connection"))
        return closes

    # Guards against requests that wait for the responses before them: one after another takes 1.2 s.
    def test_runs_idempotent_requests_of_one_connection_side_by_side(self):
        self.start_fleet()
        paths = [f"/items/{number}" for number in range(4)]
        self.set_service_times({path: 0.3 for path in paths})
        caller = self.connect()
        begin = time.monotonic()
        caller.send(*(request_bytes(path, self.fleet.next_attempt()) for path in paths))
        self.assert_answers(caller, paths)
        elapsed = time.monotonic() - begin
        print(f"four pipelined requests of 300 ms: {elapsed:.3f} s", flush=True)
        self.assertLess(elapsed, 0.66)
        self.assertEqual(self.nodes["items-ikeja"].metrics()["pipelined_requests"], 3)

    # Guards against responses in the order in which the upstreams finish.
    def test_keeps_the_order_when_the_first_request_is_the_slowest(self):
        self.start_fleet()
        paths = [f"/items/{number}" for number in range(6)]
        self.set_service_times({paths[0]: 0.8, paths[3]: 0.4})
        caller = self.connect()
        attempts = [self.fleet.next_attempt() for _ in paths]
        caller.send(*map(request_bytes, paths, attempts))
        self.assert_answers(caller, paths)
        records = self.records()
        self.assertLess(records[attempts[5]].finished_at, records[attempts[0]].finished_at)

    # Guards against a request with an effect that runs beside others or more than once.
    def test_runs_any_other_request_alone_and_in_its_turn(self):
        self.start_fleet()
        self.set_service_times({"/items/1": 0.3, "/orders/1": 0.2, "/items/2": 0.1})
        caller = self.connect()
        before, effect, behind = (self.fleet.next_attempt() for _ in range(3))
        caller.send(request_bytes("/items/1", before),
                    request_bytes("/orders/1", effect, "POST", b"body"),
                    request_bytes("/items/2", behind))
        self.assert_answers(caller, ["/items/1", "/orders/1", "/items/2"])
        records = self.records()
        self.assertGreaterEqual(records[effect].started_at, records[before].finished_at)
        self.assertGreaterEqual(records[behind].started_at, records[effect].finished_at)

    # Guards against work for a caller that is gone.
    def test_cancels_all_requests_of_a_caller_that_disconnects(self):
        self.start_fleet()
        paths = [f"/items/{number}" for number in range(4)]
        self.set_service_times({path: 1.8 for path in paths})
        caller = self.connect()
        attempts = [self.fleet.next_attempt() for _ in paths]
        caller.send(*map(request_bytes, paths, attempts))
        self.fleet.wait_until(lambda: set(attempts) <= set(self.records()), "all requests run", 1.5)
        closed_at = time.monotonic()
        caller.close()
        self.fleet.wait_until(lambda: all(self.records()[attempt].cancelled_at
                                          for attempt in attempts), "all are cancelled", 2.0)
        for attempt in attempts:
            self.assertLess(self.records()[attempt].cancelled_at - closed_at, 0.5)

    # Guards against a planned stop that drops requests which an upstream has run, and against
    # requests that run although the response before them closed the connection.
    def test_planned_stop_answers_all_requests_that_have_begun(self):
        self.start_fleet()
        paths = [f"/items/{number}" for number in range(4)]
        self.set_service_times({path: 1.0 + 0.1 * at for at, path in enumerate(paths)})
        node = self.nodes["items-ikeja"]
        caller = self.connect()
        attempts = [self.fleet.next_attempt() for _ in paths]
        unread = [self.fleet.next_attempt() for _ in range(2)]
        caller.send(*map(request_bytes, paths, attempts),
                    request_bytes("/orders/1", unread[0], "POST", b"body"),
                    request_bytes("/items/9", unread[1]))
        self.fleet.wait_until(lambda: set(attempts) <= set(self.records()), "all requests run", 0.9)
        node.process.terminate()
        closes = self.assert_answers(caller, paths)
        self.assertEqual(closes, [None, None, None, "close"])
        self.assertIsNone(caller.read_response())
        self.assertEqual(node.process.wait(8.0), 0)
        records = self.records()
        self.assertTrue(all(records[attempt].finished_at for attempt in attempts))
        for attempt in unread:
            self.assertNotIn(attempt, records)
        self.assertRegex(node.log_text(), "E102 node stopped drained=yes links=[a-z]+ ms=[0-9]+ cut=0")


if __name__ == "__main__":
    unittest.main()
