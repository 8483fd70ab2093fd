"""Tests that no message ends a process, wherever the network cuts it."""

import socket
import time
import unittest

from asyncserver import Response
from platform_case import PlatformCase
from upstream import ATTEMPT, STAMP


class CutsTest(PlatformCase):
    """Chunked bodies that arrive in two pieces, from callers and from upstreams."""

    first_port = 29000

    # The ends of an empty body, cut in two; the first piece must not be taken for a whole message.
    ends = [(b"0\r\n", b"\r\n"), (b"0\r\n\r", b"\n"), (b"0", b"\r\n\r\n"), (b"0\r", b"\n\r\n"),
            (b"0\r\n", b"X-Trailer: t\r\n\r\n"), (b"0\r\nX-Trailer: t\r\n", b"\r\n"),
            (b"000\r\n", b"\r\n")]

    def expect_all_running(self):
        for node in self.fleet.nodes:
            self.assertTrue(node.process.is_running(), node.name)

    # One such request of one caller ended the node, and with it all other calls through it.
    def test_serves_an_empty_chunked_request_that_arrives_in_two_pieces(self):
        self.start_fleet()
        node = self.nodes["items-ikeja"]
        for first, second in self.ends:
            head = (f"POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\n"
                    f"{ATTEMPT}: {self.fleet.next_attempt()}\r\nTransfer-Encoding: chunked\r\n"
                    f"Connection: close\r\n\r\n").encode()
            with socket.create_connection(("127.0.0.1", node.caller_port), 5) as connection:
                connection.sendall(head + first)
                time.sleep(0.15)
                connection.sendall(second)
                status = connection.makefile("rb").readline()
            self.assertIn(b" 200 ", status, (first, second))
        self.expect_all_running()

    # One such response of a sound upstream ended the node beside it.
    def test_delivers_an_empty_chunked_response_that_arrives_in_two_pieces(self):
        self.start_fleet()
        for first, second in self.ends:
            for upstream in self.upstreams("items"):
                upstream.override_response = lambda request, a=first, b=second: Response(
                    raw=(f"HTTP/1.1 200 OK\r\n{ATTEMPT}: {request.header(ATTEMPT)}\r\n{STAMP}: s"
                         f"\r\nTransfer-Encoding: chunked\r\n\r\n").encode() + a,
                    late=b, late_delay=0.15)
            response = self.nodes["orders-ikeja"].call(path="/items/1")
            self.assertEqual((response.status, response.body), (200, b""), (first, second))
        self.expect_all_running()

    def test_runs_no_request_that_was_sent_as_a_body_of_an_unknown_coding(self):
        self.start_fleet()
        node = self.nodes["items-ikeja"]
        outer, inner = self.fleet.next_attempt(), self.fleet.next_attempt()
        with socket.create_connection(("127.0.0.1", node.caller_port), 5) as connection:
            connection.sendall(
                f"POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\n{ATTEMPT}: {outer}\r\n"
                f"Transfer-Encoding: other\r\n\r\n"
                f"POST /orders/2 HTTP/1.1\r\nHost: shop.example\r\n{ATTEMPT}: {inner}\r\n"
                f"Content-Length: 0\r\nConnection: close\r\n\r\n".encode())
            response = connection.makefile("rb").read()
        self.assertIn(b" 400 ", response.splitlines()[0])
        self.assertEqual((self.run_count(outer), self.run_count(inner)), (0, 0))

    def test_survives_an_announcement_that_arrives_in_two_pieces(self):
        self.start_fleet()
        node = self.nodes["items-ikeja"]
        for first, second in self.ends:
            head = (b"PUT /api/instances/i-1 HTTP/1.1\r\nHost: n\r\n"
                    b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n")
            with socket.create_connection(("127.0.0.1", node.announcement_port), 5) as connection:
                connection.sendall(head + first)
                time.sleep(0.15)
                connection.sendall(second)
                status = connection.makefile("rb").readline()
            self.assertIn(b" 400 ", status, (first, second))
        self.expect_all_running()


if __name__ == "__main__":
    unittest.main()
