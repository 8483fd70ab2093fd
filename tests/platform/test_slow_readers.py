"""Tests that clients which read slowly, or not at all, do not exhaust the memory of a node.

Each test checks that the processes live, that their memory and their open descriptors stay below a
bound, and that an ordinary request is answered afterwards.
"""

import time
import unittest

from pipelined_caller import request_bytes
from slow_reader_case import SlowReaderCase

BUDGET_MS = 2500
# A client reads 5 KB per second.
SLOW_READ_BYTES = 1250
SLOW_READ_S = 0.25
# The limit of the configuration that the tests use is 1 MiB.
UPLOAD_BYTES = 1_000_000
# How many connections a test opens beside old ones, and the time between them.
NEW_CONNECTIONS = 120
NEW_CONNECTION_S = 0.1


class SlowReadersTest(SlowReaderCase):
    """Clients that request responses of 3.5 MB."""

    first_port = 31400

    def request(self, number, **options):
        path = f"/items/large{number}"
        return request_bytes(path, self.fleet.next_attempt(), budget=BUDGET_MS, **options)

    @staticmethod
    def read_slowly(caller, end):
        while time.monotonic() < end and caller.socket.recv(SLOW_READ_BYTES):
            time.sleep(SLOW_READ_S)

    @staticmethod
    def wait(end):
        time.sleep(max(0.0, end - time.monotonic()))

    # Guards against responses that are held for as long as a client takes to read them.
    def test_bounds_the_memory_for_clients_that_read_slowly(self):
        def act(number, end):
            caller = self.connect(self.near)
            caller.send(self.request(number))
            self.read_slowly(caller, end)

        self.play(act)

    # Guards against responses that are held for ever.
    def test_bounds_the_memory_for_clients_that_read_nothing(self):
        def act(number, end):
            self.connect(self.near).send(self.request(number))
            self.wait(end)

        self.play(act)

    # Guards against a rule that a client satisfies by reading a little at the beginning.
    def test_bounds_the_memory_for_clients_that_read_only_the_head(self):
        def act(number, end):
            caller = self.connect(self.near)
            caller.send(self.request(number))
            caller.read_head()
            self.wait(end)

        self.play(act)

    # Guards against responses that wait for their turn behind one that nobody reads.
    def test_bounds_the_memory_for_clients_that_pipeline_and_read_nothing(self):
        def act(number, end):
            caller = self.connect(self.near)
            caller.send(*(self.request(number) for _ in range(8)))
            self.wait(end)

        self.play(act)

    # Guards against a bound for each connection only.
    def test_bounds_the_memory_for_connections_that_are_left_unread(self):
        def act(_, end):
            for number in range(NEW_CONNECTIONS):
                caller = self.connect(self.near)
                if caller:
                    try:
                        caller.send(self.request(number))
                    except OSError:
                        pass  # the node may close it
                time.sleep(NEW_CONNECTION_S)
            self.wait(end)

        self.play(act, count=1, seconds=NEW_CONNECTIONS * NEW_CONNECTION_S + 2.0)

    # Guards against bodies of requests that are kept while the response is read.
    def test_bounds_the_memory_for_slow_uploads_with_slow_readers(self):
        def act(number, end):
            caller = self.connect(self.near)
            data = self.request(number, method="POST", body=b"x" * UPLOAD_BYTES)
            for at in range(0, len(data), len(data) // 16):
                caller.send(data[at:at + len(data) // 16])
                time.sleep(0.1)
            self.read_slowly(caller, end)

        self.play(act)

    # Guards against connections that cost memory before they have sent a request.
    def test_bounds_the_memory_for_heads_that_never_end(self):
        def act(_, end):
            callers = [self.connect(self.near) for _ in range(8)]
            fields = 0
            while time.monotonic() < end and callers:
                data = b"GET /items/1 HTTP/1.1\r\n" if fields == 0 else b"X: " + b"y" * 900 + b"\r\n"
                fields += 1
                callers = [caller for caller in callers if caller and self.sends(caller, data)]
                time.sleep(0.1)

        self.play(act)

    @staticmethod
    def sends(caller, data):
        try:
            caller.send(data)
        except OSError:
            return False
        return True

    # Guards against memory of the node that only passes a response on, and of the link to it.
    def test_bounds_the_memory_of_both_nodes_of_a_link(self):
        def act(number, end):
            caller = self.connect(self.far)
            caller.send(self.request(number))
            self.read_slowly(caller, end)

        self.play(act)


if __name__ == "__main__":
    unittest.main()
