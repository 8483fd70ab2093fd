"""Tests that crowds of slow clients and peers neither end a node nor keep ordinary callers out.

Each test checks that the processes live, that their memory stays below a bound, and that ordinary
requests are answered while the crowd is there or after it has left.
"""

import http.client
import os
import resource
import signal
import threading
import time
import unittest

from asyncserver import Response
from known_red import known_red
from pipelined_caller import request_bytes
from platform_fleet import configuration, rule
from slow_reader_case import (CLIENTS, IDLE_BYTES, MEGABYTE, MEMORY_BOUND, RESPONSE_BYTES,
                              TARGET_BYTES, TARGET_CLIENTS, TARGET_VM_BYTES, SlowReaderCase)
from test_hostile import peak_memory
from upstream import ATTEMPT, STAMP

BUDGET_MS = 2500
# A client reads 5 KB per second.
SLOW_READ_BYTES = 1250
SLOW_READ_S = 0.25
# The nodes beside which no upstream of "items" is.
PEERS = 3
MEDIUM_RESPONSE_BYTES = 400_000
# The limit of the configuration is 1 MiB. The small ones take the room that the large ones leave.
UPLOADS_BYTES = (1_000_000, 100_000)
ORDINARY_BODY_BYTES = 300_000
# How long a client may stay idle, by the configuration of tests that wait for it.
IDLE_TIMEOUT_S = 2
# When the crowd's requests are running at the upstream.
RUNNING_S = 0.2
RUN_TIME_S = 0.3
# A planned stop ends within the grace period of 6 s that applies without a setting; the rest is for
# a slow machine.
STOP_S = 8.0
# After a crowd a node keeps at most a quarter of what the crowd may take.
KEPT_BOUND = (MEMORY_BOUND - IDLE_BYTES) // 4
# The time in which a crowd's connections end and its memory is released.
SETTLE_S = 5.0
# More connections than a node has descriptors.
DESCRIPTORS = 60
IDLE_CLIENTS = 120
# Slow readers of a VM whose memory does not limit them first.
READERS = 60
LARGE_VM_BYTES = 800 * MEGABYTE
LARGE_VM_BOUND = LARGE_VM_BYTES * TARGET_BYTES // TARGET_VM_BYTES


def resident_memory(node):
    """Returns the resident size of a node's process, in bytes."""
    with open(f"/proc/{node.process.pid}/statm", encoding="ascii") as sizes:
        return int(sizes.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class SlowReaderCrowdsTest(SlowReaderCase):
    """Clients, peers, uploads and idle connections beside ordinary callers."""

    first_port = 38000

    def setUp(self):
        super().setUp()
        self.peers = [self.far]
        for number in range(2, PEERS + 1):
            node = self.fleet.add_node(f"far{number}", "ikeja", "orders")
            node.extra_settings = self.far.extra_settings
            node.start()
            node.add_upstream()
            self.peers.append(node)
        self.fleet.wait_until_served()
        self.fleet.wait_until_upstreams_known()

    def shorten_idle_timeout(self):
        """Puts a configuration in force by which clients may stay idle only for a short time."""
        rules = [rule("items", "/items/", service="items"),
                 rule("changed", "/changed/", service="items"),
                 rule("orders", "/orders/", kind="unsafe", service="orders")]
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutS": 1,
                  "idleTimeoutS": IDLE_TIMEOUT_S}
        self.fleet.store.put("op/config", configuration(6, rules, ["items", "orders"], limits))
        self.fleet.wait_until_served("/changed/1")

    @staticmethod
    def respond(request):
        if request.path.startswith("/items/endless"):
            head = (f"HTTP/1.1 200 OK\r\n{ATTEMPT}: {request.header(ATTEMPT)}\r\n{STAMP}: s.1\r\n"
                    "Connection: close\r\n\r\n")
            return Response(raw=head.encode() + b"x" * RESPONSE_BYTES, close=True)
        if request.path.startswith("/items/medium"):
            return Response(200, b"x" * MEDIUM_RESPONSE_BYTES,
                            {ATTEMPT: request.header(ATTEMPT), STAMP: "s.1"})
        return SlowReaderCase.respond(request)

    def request(self, kind, number=0, **options):
        return request_bytes(f"/items/{kind}{number}", self.fleet.next_attempt(),
                             budget=BUDGET_MS, **options)

    def send_requests(self, nodes, count=CLIENTS, kinds=("large",)):
        """Sends a request on each of the crowd's connections, which go to the nodes by turns."""
        for number in range(count):
            caller = self.connect(nodes[number % len(nodes)])
            self.assertIsNotNone(caller)
            caller.send(self.request(kinds[number % len(kinds)], number))

    def read_slowly(self, node, kind):
        """Returns the act of a client that requests one response and reads it slowly."""

        def act(number, end):
            caller = self.connect(node(number))
            caller.send(self.request(kind, number))
            while time.monotonic() < end and caller.socket.recv(SLOW_READ_BYTES):
                time.sleep(SLOW_READ_S)

        return act

    def assert_answered(self, node, method="GET", body=b"", path="/items/1"):
        def is_answered():
            try:
                return node.call(method, path, body, timeout=10).status == 200
            except http.client.HTTPException:
                return False

        self.fleet.wait_until(is_answered, f"{node.name} answers {method} of {len(body)} bytes")

    def assert_ordinary_callers_served(self, node):
        self.assert_answered(node)
        self.assert_answered(node, "POST", b"x" * ORDINARY_BODY_BYTES)

    def assert_bounded(self, nodes, bound=MEMORY_BOUND):
        peaks = {node.name: peak_memory(node) for node in nodes}
        print(f"{self.id().rsplit('.', 1)[1]}: peak of memory "
              + ", ".join(f"{name} {peak / MEGABYTE:.1f} MB" for name, peak in peaks.items()),
              flush=True)
        for node in nodes:
            self.assertTrue(node.process.is_running(), node.name)
            self.assertLess(peaks[node.name], bound, node.name)

    def assert_stops(self, node):
        """Checks that a node ends after SIGTERM, and its memory until then."""
        peak = peak_memory(node)
        node.process.terminate()
        end = time.monotonic() + STOP_S
        while node.process.is_running() and time.monotonic() < end:
            try:
                peak = max(peak, peak_memory(node))
            except (AssertionError, OSError):
                pass  # the process ends
            time.sleep(0.05)
        print(f"{self.id().rsplit('.', 1)[1]}: peak of memory {peak / MEGABYTE:.1f} MB", flush=True)
        self.assertFalse(node.process.is_running(), "the process did not end")
        self.assertEqual(node.process.wait(), 0)
        self.assertLess(peak, MEMORY_BOUND)

    def stop_nodes(self, nodes):
        """Pauses the processes of nodes."""
        for node in nodes:
            node.process.signal(signal.SIGSTOP)
            self.addCleanup(node.process.signal, signal.SIGCONT)

    @staticmethod
    def continue_nodes(nodes):
        for node in nodes:
            node.process.signal(signal.SIGCONT)

    @staticmethod
    def limit_descriptors(node, count):
        resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (count, count))

    # ------------------------------------------------------------------ peers

    def check_stopped(self, peers):
        """Stops peers while responses for them are made, and checks the ordinary callers meanwhile
        and afterwards."""
        self.near.upstream.service_time = RUN_TIME_S
        self.send_requests(peers, TARGET_CLIENTS, ("large", "medium"))
        time.sleep(RUNNING_S)
        self.stop_nodes(peers)
        time.sleep(BUDGET_MS / 1000)
        self.near.upstream.service_time = 0.005
        self.assert_ordinary_callers_served(self.near)
        self.assert_bounded([self.near])
        self.continue_nodes(peers)
        self.close_callers()
        for node in self.fleet.nodes:
            self.assert_ordinary_callers_served(node)
        self.assert_bounded(self.fleet.nodes)

    # Guards against responses to peers that fill the budget for as long as the peers read nothing.
    def test_serves_ordinary_callers_beside_stopped_peers(self):
        self.check_stopped(self.peers)

    # Guards against the same where the system's buffers of one link take few of the responses.
    def test_serves_ordinary_callers_beside_a_stopped_peer(self):
        self.check_stopped([self.far])

    # Guards against a bound for each link only.
    def test_bounds_the_memory_for_slow_readers_at_several_peers(self):
        self.play(self.read_slowly(lambda number: self.peers[number % PEERS], "large"))

    # ------------------------------------------------------------------ responses without a length

    # Guards against responses whose room can't be taken before they are read.
    def test_bounds_the_memory_for_responses_without_a_length(self):
        self.play(self.read_slowly(lambda _: self.near, "endless"))
        self.assert_answered(self.near, path="/items/endless")

    # Guards against the same on a node that passes the responses on.
    def test_bounds_the_memory_for_responses_without_a_length_at_peers(self):
        self.play(self.read_slowly(lambda number: self.peers[number % PEERS], "endless"))
        self.assert_answered(self.far, path="/items/endless")

    # ------------------------------------------------------------------ planned stops

    # Guards against a planned stop that waits for its slowest caller.
    def test_stops_beside_slow_readers(self):
        self.send_requests([self.near])
        time.sleep(RUNNING_S)
        self.assert_stops(self.near)
        self.near.start()
        self.assert_answered(self.near)

    # Guards against a planned stop that waits for peers to take their responses.
    def test_stops_beside_stopped_peers(self):
        self.near.upstream.service_time = RUN_TIME_S
        self.send_requests(self.peers)
        time.sleep(RUNNING_S)
        self.stop_nodes(self.peers)
        time.sleep(RUN_TIME_S)
        self.assert_stops(self.near)
        self.near.upstream.service_time = 0.005
        self.continue_nodes(self.peers)
        self.near.start()
        self.assert_answered(self.near)

    # Guards against a planned stop that waits for bodies that never arrive.
    def test_stops_beside_uploads_that_stop_midway(self):
        self.begin_uploads(self.near)
        self.assert_stops(self.near)
        self.near.start()
        self.assert_answered(self.near)

    # ------------------------------------------------------------------ after the crowd

    def check_kept_memory(self, act):
        idle = {node.name: resident_memory(node) for node in self.fleet.nodes}
        self.play(act)
        time.sleep(SETTLE_S)
        kept = {node.name: resident_memory(node) - idle[node.name] for node in self.fleet.nodes}
        print(f"{self.id().rsplit('.', 1)[1]}: kept "
              + ", ".join(f"{name} {size / MEGABYTE:.1f} MB" for name, size in kept.items()),
              flush=True)
        for name, size in kept.items():
            self.assertLess(size, KEPT_BOUND, name)

    # Guards against a heap that keeps what responses took.
    def test_returns_the_memory_of_slow_readers(self):
        self.check_kept_memory(self.read_slowly(lambda _: self.near, "large"))

    # Guards against a heap that keeps what messages of links took.
    def test_returns_the_memory_of_slow_readers_at_peers(self):
        self.check_kept_memory(self.read_slowly(lambda number: self.peers[number % PEERS],
                                                "large"))

    # ------------------------------------------------------------------ descriptors

    # Guards against connections that take the descriptors that calls need.
    def test_serves_ordinary_callers_beside_idle_connections(self):
        self.shorten_idle_timeout()
        self.limit_descriptors(self.near, DESCRIPTORS)
        for _ in range(IDLE_CLIENTS):
            self.connect(self.near)
        self.assert_ordinary_callers_served(self.near)
        self.assert_bounded(self.fleet.nodes)

    # Guards against clients that take each descriptor again as soon as it is free.
    def test_serves_ordinary_callers_beside_idle_connections_that_return(self):
        self.shorten_idle_timeout()
        self.limit_descriptors(self.near, DESCRIPTORS)
        is_over = threading.Event()

        def is_connected(caller):
            try:
                return caller.socket.recv(1) != b""
            except TimeoutError:
                return True
            except OSError:
                return False

        def stay_connected():
            while not is_over.is_set():
                caller = self.connect(self.near)
                while caller and not is_over.is_set() and is_connected(caller):
                    pass

        threads = [threading.Thread(target=stay_connected) for _ in range(IDLE_CLIENTS)]
        for thread in threads:
            thread.start()
        try:
            with known_red(self, 24):
                self.assert_ordinary_callers_served(self.near)
        finally:
            is_over.set()
            for thread in threads:
                thread.join()
            self.assert_bounded(self.fleet.nodes)

    # Guards against unread responses that keep their connections for ever.
    def test_serves_ordinary_callers_beside_connections_that_are_left_unread(self):
        self.shorten_idle_timeout()
        self.near.process.terminate()
        self.near.process.wait()
        self.near.extra_settings = {"memoryMegabytes": LARGE_VM_BYTES // MEGABYTE}
        self.near.write_settings()
        self.near.start()
        self.assert_answered(self.near)
        self.limit_descriptors(self.near, DESCRIPTORS)
        self.send_requests([self.near], READERS)
        self.assert_ordinary_callers_served(self.near)
        self.assert_bounded([self.near], LARGE_VM_BOUND)

    # ------------------------------------------------------------------ uploads

    def begin_uploads(self, node):
        for size in UPLOADS_BYTES:
            for number in range(CLIENTS):
                caller = self.connect(node)
                data = self.request("upload", number, method="POST", body=b"x" * size)
                try:
                    caller.send(data[:len(data) * 9 // 10])
                except OSError:
                    pass  # the node may refuse it

    # Guards against bodies that hold their room until their connections end.
    def test_serves_ordinary_callers_beside_uploads_that_stop_midway(self):
        self.shorten_idle_timeout()
        self.begin_uploads(self.near)
        self.assert_ordinary_callers_served(self.near)
        self.assert_bounded(self.fleet.nodes)

    # Guards against the same on a node that passes requests on.
    def test_serves_ordinary_callers_beside_uploads_that_stop_midway_at_a_peer(self):
        self.shorten_idle_timeout()
        self.begin_uploads(self.far)
        self.assert_ordinary_callers_served(self.far)
        self.assert_bounded(self.fleet.nodes)


if __name__ == "__main__":
    unittest.main()
