"""Tests that no response that ended early, or was left unread in part, is delivered as whole."""

import random
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from asyncserver import Response
from cutting_proxy import CuttingProxy
from platform_case import RULES, SERVICES
from platform_fleet import configuration, rule
from response_case import ResponseCase
from upstream import ATTEMPT, STAMP

CONTENT = b"the whole content"  # 17 bytes
LENGTH = b"Content-Length: %d\r\n" % len(CONTENT)
ENDINGS = ("close", "half", "reset")


def responses(attempt):
    """Returns responses to a request with the same content, by how their end is marked."""
    status = b"HTTP/1.1 200 OK\r\n"
    attempt_id = f"{ATTEMPT}: {attempt}\r\n".encode()
    fields = attempt_id + f"{STAMP}: s.1\r\n".encode()
    chunked = status + fields + b"Transfer-Encoding: chunked\r\n\r\n" + b"".join(
        b"%x\r\n%s\r\n" % (len(piece), piece) for piece in (CONTENT[:3], CONTENT[3:])) + b"0\r\n"
    length = status + fields + LENGTH + b"\r\n" + CONTENT
    early_hints = b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n"
    return {
        "length": length,
        "length-first": status + LENGTH + fields + b"\r\n" + CONTENT,
        "chunks": chunked + b"\r\n",
        "trailer": chunked + b"X-Sum: 1\r\nX-Other: 2\r\n\r\n",
        "interim": b"HTTP/1.1 100 Continue\r\n\r\n" + early_hints + b"\r\n" + length,
        "interim-with-id": early_hints + attempt_id + b"\r\n" + length,
        "end": status + fields + b"\r\n" + CONTENT,
    }


def head_of(response):
    return response.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"


def cuts(response):
    """Returns where to cut a response: before and after each colon and each byte that ends a line,
    in the status line, the number of its length and the content."""
    marks = {0, 5, 11, response.find(LENGTH) + LENGTH.index(b"17") + 1, len(response) - 1}
    for at, byte in enumerate(response):
        if byte in b":\r\n":
            marks |= {at, at + 1}
    return sorted(mark for mark in marks if mark < len(response))


class TruncationTest(ResponseCase):
    """Responses of upstreams, of nodes and of the store that are cut on their way."""

    first_port = 30000

    # ---------------------------------------------------------------- upstreams

    def test_delivers_no_response_that_was_cut(self):
        self.start_fleet()

        def respond_cut(request):
            _, _, name, cut, ending = request.path.split("/")
            part = responses(request.header(ATTEMPT))[name][:int(cut)]
            if ending == "half":
                return Response(raw=part, ending=ending, piece_bytes=16, pause=0.0005)
            return Response(raw=part, ending=ending)

        self.respond(respond_cut)
        calls = [(method, f"/{service}/{name}/{cut}/{ending}")
                 for method, service in (("GET", "items"), ("POST", "orders"))
                 for name, whole in responses("a00000000").items() if name != "end"
                 for cut in cuts(whole) for ending in ENDINGS]
        results = self.call_each(calls)
        self.assertEqual([result for result in results if result[1] != 502], [])

    def test_delivers_whole_responses_that_arrive_in_pieces(self):
        self.start_fleet()

        def respond_in_pieces(request):
            _, _, name, size, ending = request.path.split("/")
            return Response(raw=responses(request.header(ATTEMPT))[name], ending=ending,
                            piece_bytes=int(size), pause=0.001)

        self.respond(respond_in_pieces)
        calls = [("GET", f"/items/{name}/{size}/{ending}") for name in responses("a00000000")
                 for size in (1, 3, 50) for ending in ("close", "half")]
        results = self.call_each(calls)
        self.assertEqual([result for result in results if result[1:] != (200, CONTENT)], [])

    def test_delivers_no_response_without_length_after_a_reset(self):
        self.start_fleet()
        self.respond(lambda request: Response(raw=responses(request.header(ATTEMPT))["end"],
                                              ending="reset"))
        results = self.call_each([("GET", "/items/1"), ("POST", "/orders/1")] * 4)
        self.assertEqual([result for result in results if result[1] != 502], [])

    def test_delivers_no_response_that_was_cut_on_a_kept_connection(self):
        self.start_fleet()
        cut_attempts = []

        def respond_cut_from_the_second_on(request):
            names = ("length", "chunks", "interim")
            whole = responses(request.header(ATTEMPT))[names[len(cut_attempts) % len(names)]]
            if request.connection.requests == 1:
                return Response(raw=whole)
            cut_attempts.append(request.header(ATTEMPT))
            return Response(raw=whole[:len(whole) * (len(cut_attempts) % 10) // 10], ending="close")

        self.respond(respond_cut_from_the_second_on)
        node = self.nodes["items-ikeja"]
        for _ in range(300):
            attempt = self.fleet.next_attempt()
            response = node.call("POST", "/orders/1", attempt=attempt)
            if attempt in cut_attempts:
                self.assertEqual(response.status, 502)
            elif response.status != 503:
                self.assertEqual((response.status, response.body), (200, CONTENT))
            if len(cut_attempts) >= 20:
                return
            time.sleep(0.02)
        raise AssertionError(f"only {len(cut_attempts)} calls came second on a connection")

    def test_gives_no_caller_what_another_response_left_unread(self):
        self.start_fleet()
        stray = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"

        def respond_too_long(request, kind):
            whole = responses(request.header(ATTEMPT))
            head = head_of(whole["length"])
            return {
                "length": whole["length"], "chunks": whole["chunks"],
                "longer than its length": whole["length"] + b" and more",
                "no content": head.replace(b"200 OK", b"204 No Content"),
                "not modified": head.replace(b"200 OK", b"304 Not Modified"),
            }[kind]

        node = self.nodes["items-ikeja"]
        for kind in ("length", "chunks", "longer than its length", "no content", "not modified"):
            for delay in (0.0, 0.03):
                self.respond(lambda request, k=kind, d=delay: None if request.connection.requests > 1 else
                             Response(raw=respond_too_long(request, k), late=stray, late_delay=d))
                for number in range(12):
                    response = node.call(path=f"/items/{number}")
                    with self.subTest(kind=kind, delay=delay, number=number):
                        self.assertIn(response.status, (200, 204, 304, 502, 503))
                        if response.status == 200 and response.body != CONTENT:
                            self.assertIn(f"/items/{number} ".encode(), response.body)
                    time.sleep(delay / 4)

    def test_serves_head_requests(self):
        self.start_fleet()
        self.respond(lambda request: None if request.method != "HEAD" else Response(
            raw=head_of(responses(request.header(ATTEMPT))[request.path.split("/")[2]])))
        for name, length in (("length", str(len(CONTENT))), ("chunks", None)):
            for node in self.fleet.nodes:
                response = node.call("HEAD", f"/items/{name}")
                self.assertEqual((response.status, response.stamp), (200, "s.1"))
                self.assertEqual(response.headers.get("Content-Length"), length)
                self.assertNotIn("Transfer-Encoding", response.headers)
                self.assertEqual(node.call(path="/items/1").status, 200)

    # ---------------------------------------------------------------- links

    def add_link_proxy(self, node):
        """Puts a proxy before the links that others open to a node; before the fleet starts."""
        proxy = CuttingProxy(self.fleet.event_loop, self.fleet.ports.take(), node.peer_port)
        self.addCleanup(proxy.stop)
        node.extra_settings = {"peersReachableAt": f"127.0.0.1:{proxy.port}"}
        return proxy

    def start_fleet_with_one_upstream(self, content):
        """Starts a fleet in which only orders-ikeja serves orders, with the given content."""
        self.start_fleet()
        self.respond(lambda request: Response(200, content, {
            ATTEMPT: request.header(ATTEMPT), STAMP: "s.1"}))
        self.nodes["orders-lekki"].upstream.drain()

    def check_response(self, status, body, attempt, content):
        """Checks that a response is whole, or says no more than is certain."""
        self.assertIn(status, (200, 502, 503))
        if status == 200:
            self.assertEqual(body, content)
        if status == 503:
            self.assertEqual(self.run_count(attempt), 0)

    def test_delivers_no_response_that_was_cut_between_two_nodes(self):
        content = random.Random(1).randbytes(20_000)
        proxy = self.add_link_proxy(self.nodes["orders-ikeja"])
        self.start_fleet_with_one_upstream(content)
        proxy.piece_bytes = 4096
        proxy.pause = 0.002
        # Links within a data centre are plain, those between two are compressed.
        for caller in (self.nodes["items-ikeja"], self.nodes["items-lekki"]):
            for count in (1, 9, 100, 5_000, 16_384, 19_999):
                for ending in ("close", "reset"):
                    with self.subTest(caller=caller.name, count=count, ending=ending):
                        self.cut_until_unknown(proxy, count, ending, caller, content)

    def cut_until_unknown(self, proxy, count, ending, caller, content):
        """Cuts links until a call gets no response; other messages may use them as well."""
        for _ in range(20):
            self.fleet.wait_until(lambda: caller.call("POST", "/orders/1").status == 200,
                                  "the link is open")
            attempt = self.fleet.next_attempt()
            proxy.cut_after(count, ending)
            response = caller.call("POST", "/orders/1", attempt=attempt)
            self.check_response(response.status, response.body, attempt, content)
            if response.status == 502 and self.run_count(attempt):
                return
        raise AssertionError("no response was cut")

    def test_delivers_no_response_of_a_node_that_was_killed_meanwhile(self):
        content = random.Random(2).randbytes(2_500_000)
        killed = self.nodes["orders-ikeja"]
        proxy = self.add_link_proxy(killed)
        self.start_fleet_with_one_upstream(content)
        for caller in (self.nodes["items-ikeja"], self.nodes["items-lekki"]):
            self.fleet.wait_until(lambda: caller.call("POST", "/orders/1").status == 200,
                                  "the node serves")
            # So slow that the node still holds a part of the responses when it ends.
            proxy.pause = 0.2
            ended = threading.Event()
            results = self.call_in_parallel(caller, ended, lambda attempts: self.kill_during(
                killed, proxy, ended, attempts))
            for status, body, attempt in results:
                self.check_response(status, body, attempt, content)
                self.assertLessEqual(self.run_count(attempt), 1)
            self.assertIn(502, {status for status, _, _ in results})
            killed.start()

    def kill_during(self, node, proxy, ended, attempts):
        try:
            self.fleet.wait_until(lambda: sum(map(self.run_count, attempts)) >= 2, "calls run")
            time.sleep(0.03)
        finally:
            ended.set()
        node.process.kill()
        proxy.pause = 0.0

    def call_while_refused(self, caller, ended, attempt):
        # A node that learns of a restart refuses calls until it learns of the upstream as well.
        response = caller.call("POST", "/orders/1", attempt=attempt)
        while response.status == 503 and not ended.is_set():
            time.sleep(0.02)
            response = caller.call("POST", "/orders/1", attempt=attempt)
        return response

    def call_in_parallel(self, caller, ended, meanwhile):
        """Sends calls, and calls a function meanwhile. Returns (status, body, attempt) of each.

        Together, the responses exceed what the system sends on after the end of a process. Calls
        that are refused are sent again until the event is set.
        """
        attempts = [self.fleet.next_attempt() for _ in range(3)]
        with ThreadPoolExecutor(3) as pool:
            responses = [pool.submit(self.call_while_refused, caller, ended, attempt)
                         for attempt in attempts]
            meanwhile(attempts)
        return [(response.result().status, response.result().body, attempt)
                for attempt, response in zip(attempts, responses)]

    # ---------------------------------------------------------------- store

    def test_drops_no_record_for_cut_responses_of_the_store(self):
        # The listing takes several pages.
        for number in range(120):
            self.store.put(f"op/evacuate/zone-{number}", {"reason": "x" * 200})
        self.start_fleet()
        self.store.put("op/evacuate/ikeja", {})
        evacuated = self.upstreams_in("ikeja")
        self.fleet.wait_until(lambda: self.receives_no_calls(evacuated), "the evacuation holds")
        randomness = random.Random(3)
        cut_paths = []

        def cut(request, response):
            framing = randomness.choice(("length", "chunks", "end"))
            whole = self.reframed(response.to_bytes(), framing)
            cut_paths.append(request.path)
            return Response(raw=whole[:randomness.randrange(len(whole))],
                            ending=randomness.choice(ENDINGS))

        self.store.replace_response = cut
        restarted = self.nodes["orders-ikeja"]
        restarted.process.kill()
        restarted.start()
        for number in range(15):
            self.store.put("op/evacuate/zone-1", {"number": number})
            time.sleep(0.1)
            self.assertTrue(self.receives_no_calls(evacuated), f"change {number}")
        self.assertIn("/api/kv-range", cut_paths)
        self.assertIn("/api/kv-watch", cut_paths)
        self.store.replace_response = lambda request, response: response
        self.store.put("op/config", configuration(
            6, [*RULES, rule("others", "/others/", service="items")], SERVICES))
        for node in self.fleet.nodes:
            self.fleet.wait_until(lambda n=node: n.call(path="/others/1").status == 200,
                                  "the change after them is in force")
        self.assertTrue(self.receives_no_calls(evacuated))

    @staticmethod
    def reframed(response, framing):
        """Returns a response with its body framed by a length, in chunks or by the end."""
        head, _, body = response.partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        if framing == "length":
            return response
        lines = [line for line in lines if not line.startswith(b"Content-Length")]
        if framing == "chunks":
            lines.append(b"Transfer-Encoding: chunked")
            body = b"".join(b"%x\r\n%s\r\n" % (len(body[at:at + 1000]), body[at:at + 1000])
                            for at in range(0, len(body), 1000)) + b"0\r\n\r\n"
        return b"\r\n".join(lines) + b"\r\n\r\n" + body

    def test_follows_a_store_that_sends_interim_responses(self):
        self.store.replace_response = lambda request, response: Response(
            raw=b"HTTP/1.1 100 Continue\r\n\r\n", late=response.to_bytes(), late_delay=0.02)
        self.start_fleet()
        for number in range(6, 10):
            prefix = "/items/" if number % 2 else "/others/"
            self.store.put("op/config", configuration(
                number, [rule("items", prefix, service="items"), RULES[1]], SERVICES))
            for node in self.fleet.nodes:
                self.fleet.wait_until(lambda n=node: n.call(path=f"{prefix}1").status == 200,
                                      "the change is in force")


if __name__ == "__main__":
    unittest.main()
