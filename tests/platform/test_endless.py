"""Tests that bytes without end from faulty upstreams harm nobody but their own callers."""

import threading
import time
import unittest

from asyncserver import Response
from platform_case import PlatformCase
from test_hostile import MEBIBYTE, peak_memory
from upstream import ATTEMPT, STAMP

# The memory of the smallest VM of a deployment.
SMALLEST_VM = 88 * MEBIBYTE

OK = b"HTTP/1.1 200 OK\r\n"
FILL = b"x" * 4096
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"

# What the upstream sends first, and what it repeats until the connection is closed.
HEADS = {
    "no response": (b"", b"?" * 4096),
    "zeros": (b"", b"\0" * 4096),
    "no line end": (b"HTTP/1.1 200 ", FILL),
    "one header": (OK + b"X-Long: ", FILL),
    "headers": (OK, b"A: b\r\n" * 600),
    "folded header": (OK + b"A: b\r\n", b" folded\r\n" * 400),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "large interim responses": (b"", b"HTTP/1.1 103 Hints\r\nA: " + FILL + b"\r\n\r\n"),
}
BODIES = {
    "to the close": (OK + b"\r\n", FILL),
    "of a large length": (OK + b"Content-Length: 999999999999\r\n\r\n", FILL),
    "chunks": (CHUNKED, b"4\r\nabcd\r\n" * 400),
    "large chunks": (CHUNKED, b"1000\r\n" + FILL + b"\r\n"),
    "chunk size": (CHUNKED, b"0" * 4096),
    "chunk extension": (CHUNKED + b"5;", FILL),
    "one chunk": (CHUNKED + b"ffffffffff\r\n", FILL),
    "unknown coding": (OK + b"Transfer-Encoding: other\r\n\r\n", FILL),
    "trailer": (CHUNKED + b"0\r\nA: ", FILL),
    "trailers": (CHUNKED + b"0\r\n", b"A: b\r\n" * 600),
    "trailer after content": (CHUNKED + b"4\r\nabcd\r\n0\r\nA: ", FILL),
    "responses": (b"", OK + b"Content-Length: 4\r\n\r\nabcd"),
}


class EndlessTest(PlatformCase):
    """Both "items" upstreams are faulty; callers of "orders" use the same nodes meanwhile."""

    first_port = 28000

    def setUp(self):
        super().setUp()
        self.start_fleet()
        self.others = []
        self.is_over = threading.Event()

    def call_orders(self, node):
        """Calls the sound service through a node until the faulty ones have been played."""
        while not self.is_over.is_set():
            begin = time.monotonic()
            try:
                status = node.call("POST", "/orders/1", b"x", budget=3000).status
            except OSError as error:
                status = type(error).__name__
            self.others.append((status, time.monotonic() - begin))
            time.sleep(0.02)

    def play(self, kinds, named):
        """Plays each kind with many callers at a time.

        With named, a head that names the request, as a sound one does, precedes a body.
        """
        callers = [threading.Thread(target=self.call_orders, args=(node,))
                   for node in self.fleet.nodes]
        for caller in callers:
            caller.start()
        try:
            for name, (begin, filler) in kinds.items():
                self.play_kind(name, begin, filler, named)
        finally:
            self.is_over.set()
            for caller in callers:
                caller.join()
        self.assertEqual({status for status, _ in self.others}, {200})
        self.assertLess(max(seconds for _, seconds in self.others), 2.0)
        for node in self.fleet.nodes:
            self.assertTrue(node.process.is_running(), node.name)
            self.assertLess(peak_memory(node), SMALLEST_VM, node.name)

    def play_kind(self, name, begin, filler, named):
        for upstream in self.upstreams("items"):
            def respond(request):
                fields = f"{ATTEMPT}: {request.header(ATTEMPT)}\r\n{STAMP}: s\r\n".encode()
                return Response(raw=begin.replace(OK, OK + fields) if named else begin,
                                filler=filler)
            upstream.override_response = respond
        statuses = []
        threads = [threading.Thread(target=lambda n=node, p=path: statuses.append(
            n.call(path=p, budget=2500).status))
                   for node in self.fleet.nodes for path in ("/items/1", "/items/2") * 4]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        with self.subTest(name):
            self.assertEqual(len(statuses), len(threads))
            self.assertLessEqual(set(statuses), {502, 503})

    def test_heads_without_end_harm_no_other_caller(self):
        self.play(HEADS, named=False)

    def test_bodies_without_end_harm_no_other_caller(self):
        self.play(BODIES, named=False)

    def test_bodies_without_end_of_named_responses_harm_no_other_caller(self):
        self.play(BODIES, named=True)


if __name__ == "__main__":
    unittest.main()
