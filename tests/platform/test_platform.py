"""Tests node processes on the platform's interface, against stand-ins of store and upstreams."""

import http.client
import signal
import socket
import threading
import time
import unittest

from asyncserver import Response
from platform_case import RULES, SERVICES, PlatformCase
from platform_fleet import configuration, rule
from upstream import ATTEMPT, NOT_RUN, STAMP

def exchange(port, pieces, timeout=4.0, pause=0.0):
    """Sends pieces of raw bytes. Returns what is received until the end or the timeout (s)."""
    with socket.create_connection(("127.0.0.1", port), timeout=timeout) as connection:
        connection.settimeout(timeout)
        received = b""
        try:
            for piece in pieces:
                connection.sendall(piece)
                time.sleep(pause)
            while chunk := connection.recv(65536):
                received += chunk
        except OSError:
            pass
        return received


class PlatformTest(PlatformCase):
    """The call path, the store, moves and planned stops on the platform's interface."""

    first_port = 21000

    # ---------------------------------------------------------------- call path

    def test_serves_a_call_with_the_headers_that_the_platform_requires(self):
        self.start_fleet()
        node = self.nodes["items-ikeja"]
        response = node.call("POST", "/orders/7?x=1", b"body", attempt="abc",
                             headers={"X-Boragetrack-Caller-Service": "forged", "X-Other": "kept",
                                      "Connection": "X-Hop, close", "X-Hop": "1"})
        self.assertEqual(response.status, 200)
        self.assertTrue(response.stamp)
        self.assertIn(b"POST /orders/7?x=1 body", response.body)
        run = next(r for u in self.upstreams("orders") for _, a, r in u.runs if a == "abc")
        self.assertEqual(run.header("X-Boragetrack-Caller-Service"), "items")
        self.assertEqual(run.header("Host"), "shop.example")
        self.assertEqual(run.header("X-Other"), "kept")
        self.assertIsNone(run.header("X-Hop"))
        self.assertLessEqual(int(run.header("X-Boragetrack-Time-Budget-Ms")), 2000)
        self.assertTrue(run.header("X-Boragetrack-Target-Instance").startswith("i-"))

    def test_responds_503_before_the_first_configuration_and_404_only_after_it(self):
        self.fleet.start()
        node = self.nodes["items-ikeja"]
        self.fleet.wait_until(lambda: node.call().status, "the node accepts connections")
        self.assertEqual(node.call().status, 503)
        self.assertFalse(node.is_ready())
        self.store.put("op/config", configuration(5, RULES, SERVICES))
        self.fleet.wait_until_served()
        self.assertTrue(node.is_ready())
        self.assertEqual(node.call(path="/nowhere/").status, 404)
        self.assertEqual(node.call(host="other.example").status, 404)

    def test_matches_responses_to_requests_when_late_ones_arrive(self):
        self.start_fleet()
        for upstream in self.upstreams("items"):
            def respond_late(request, upstream=upstream):
                other = upstream.success_response(request).to_bytes().replace(
                    request.header(ATTEMPT).encode(), b"someone-elses")
                return Response(raw=other + upstream.success_response(request).to_bytes())
            upstream.override_response = respond_late
        for number in range(6):
            response = self.nodes["orders-lekki"].call(path=f"/items/{number}")
            self.assertEqual(response.status, 200)
            self.assertIn(f"/items/{number} ".encode(), response.body)

    def test_reports_a_truncated_response_as_failed(self):
        self.start_fleet()
        for upstream in self.upstreams("orders"):
            def respond_truncated(request, upstream=upstream):
                whole = upstream.success_response(request).to_bytes()
                return Response(raw=whole[:-5], close=True)
            upstream.override_response = respond_truncated
        response = self.nodes["items-ikeja"].call("POST", "/orders/1", b"x", attempt="cut")
        self.assertEqual(response.status, 502)
        self.assertIsNone(response.stamp)
        self.assertEqual(self.run_count("cut"), 1)

    def test_reports_not_run_only_for_calls_that_did_not_run(self):
        self.start_fleet()
        for upstream in self.upstreams("orders"):
            upstream.override_response = lambda request: Response(503, headers={
                NOT_RUN: "1", ATTEMPT: request.header(ATTEMPT)})
        response = self.nodes["items-ikeja"].call("POST", "/orders/1", b"x", attempt="shed")
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers["Retry-After"]), 0.0)
        self.assertEqual(self.run_count("shed"), 0)
        for upstream in self.upstreams("orders"):
            upstream.override_response = lambda request: Response(raw=b"", close=True)
        response = self.nodes["items-ikeja"].call("POST", "/orders/1", b"x", attempt="vanished")
        self.assertEqual(response.status, 502)
        self.assertEqual(self.run_count("vanished"), 1)

    def test_retries_a_safe_call_on_another_upstream(self):
        self.start_fleet()
        upstreams = self.upstreams("items")
        upstreams[0].override_response = lambda request: Response(raw=b"", close=True)
        responses = [self.nodes["items-ikeja"].call(path="/items/1") for _ in range(10)]
        self.assertEqual({response.status for response in responses}, {200})

    def test_cancels_the_request_of_a_caller_that_disconnects(self):
        self.start_fleet()
        for upstream in self.upstreams("items"):
            upstream.service_time = 5.0
        node = self.nodes["items-ikeja"]
        connection = socket.create_connection(("127.0.0.1", node.caller_port))
        connection.sendall(b"GET /items/1 HTTP/1.1\r\nHost: shop.example\r\n"
                           b"X-Boragetrack-Attempt-Id: gone\r\n"
                           b"X-Boragetrack-Time-Budget-Ms: 4000\r\n\r\n")
        self.fleet.wait_until(lambda: self.run_count("gone") == 1, "the call is running")
        connection.close()
        self.fleet.wait_until(lambda: any("gone" in u.cancelled for u in self.upstreams("items")),
                              "the request at the upstream is cancelled", timeout=2.0)

    def test_serves_pipelined_and_chunked_requests_and_refuses_malformed_ones(self):
        self.start_fleet()
        node = self.nodes["items-ikeja"]
        head = (b"Host: shop.example\r\nX-Boragetrack-Time-Budget-Ms: 2000\r\n"
                b"X-Boragetrack-Attempt-Id: %s\r\n")
        two = (b"GET /items/1 HTTP/1.1\r\n" + head % b"p1" + b"\r\n"
               b"POST /orders/2 HTTP/1.1\r\n" + head % b"p2"
               + b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
        received = exchange(node.caller_port, [two])
        self.assertEqual(received.count(b"HTTP/1.1 200"), 2)
        self.assertTrue(received.index(b"/items/1") < received.index(b"/orders/2 hello"))
        smuggled = (b"POST /orders/3 HTTP/1.1\r\n" + head % b"s1"
                    + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
        self.assertIn(b"HTTP/1.1 400", exchange(node.caller_port, [smuggled]))
        self.assertIn(b"HTTP/1.1 431", exchange(
            node.caller_port, [b"GET / HTTP/1.1\r\nX: " + b"a" * 20000 + b"\r\n\r\n"]))
        self.assertIn(b"HTTP/1.1 408", exchange(node.caller_port, [b"GET /items/1 HTT"]))
        self.assertEqual(node.call().status, 200)

    # ---------------------------------------------------------------- intent

    def test_applies_a_change_within_two_seconds(self):
        self.start_fleet()
        moved = [rule("items", "/items/", service="orders"), RULES[1]]
        self.store.put("op/config", configuration(6, moved, SERVICES))
        for node in self.fleet.nodes:
            self.fleet.wait_until(lambda n=node: b"-" in n.call(path="/items/1").body
                                  and self.is_served_by(n, "orders"), "the change is in force", 2.0)

    def is_served_by(self, node, service):
        instance = node.call(path="/items/1").body.split(b" ")[0].decode()
        return instance in {u.instance for u in self.upstreams(service)}

    def test_serves_and_fetches_the_intent_from_peers_while_the_store_is_unavailable(self):
        self.start_fleet()
        self.store.fault = "out"
        node = self.nodes["items-ikeja"]
        node.process.kill()
        node.start()
        self.fleet.wait_until(lambda: node.call(path="/orders/1").status == 200,
                              "the restarted node fetched the intent from peers")
        for other in self.fleet.nodes:
            self.assertEqual(other.call(path="/orders/1").status, 200)

    def test_lists_all_records_after_the_history_is_compacted(self):
        self.start_fleet()
        self.store.fault = "out"
        for upstream in self.upstreams("items"):
            self.store.event_loop.run(self.drop_connections())
        self.store.fault = None
        self.store.put("op/evacuate/ikeja", {})
        self.store.compact_history()
        upstream = self.nodes["items-ikeja"].upstream
        self.fleet.wait_until(lambda: self.receives_no_calls(upstream),
                              "the evacuation is in force")

    async def drop_connections(self):
        for writer in list(self.store._writers):
            writer.transport.abort()

    def receives_no_calls(self, upstream):
        before = len(upstream.runs)
        for node in self.fleet.nodes:
            node.call(path="/items/1")
        return len(upstream.runs) == before

    def recorded_nodes(self):
        return {node.name for node in self.fleet.nodes
                if self.store.value(f"boragetrack/nodes/{node.name}")}

    def has_records_in_each_zone(self):
        return {node.zone for node in self.fleet.nodes if node.name in self.recorded_nodes()} == {
            node.zone for node in self.fleet.nodes}

    def wait_until_followers_are_registered(self):
        # Nodes that start together register before they know the followers, for five seconds; after
        # that, followers that have no record yet write theirs.
        time.sleep(6)
        self.fleet.wait_until(self.has_records_in_each_zone,
                              "the follower of each data centre has a record")

    def test_rewrites_its_node_record_after_its_lease_expires(self):
        self.start_fleet()
        self.wait_until_followers_are_registered()
        self.store.expire_leases()
        self.fleet.wait_until(self.has_records_in_each_zone,
                              "the records of the followers are rewritten", timeout=4.0)

    def test_a_change_costs_calls_of_the_followers_only(self):
        for number in range(4):
            for zone in ("ikeja", "lekki"):
                node = self.fleet.add_node(f"more-{number}-{zone}", zone, "items")
                self.nodes[node.name] = node
        self.start_fleet()
        self.wait_until_followers_are_registered()
        time.sleep(3)
        registered = self.recorded_nodes()
        before = self.store.calls
        changes = 6
        for number in range(changes):
            self.store.put("op/evacuate/yaba", {"number": number})
            time.sleep(1)
        # One follower in each of the two data centres: a watch and its probe for each change. A
        # watch may also end by itself meanwhile.
        followers = 2
        self.assertLessEqual(self.store.calls - before, followers * 2 * (changes + 1))
        self.assertEqual(self.recorded_nodes(), registered)

    def test_ignores_malformed_records(self):
        self.start_fleet()
        self.store.put("op/config", b"\xff\x00 not json")
        self.store.put("boragetrack/nodes/stranger", b"\x01")
        self.store.put("op/evacuate/ikeja", {})
        self.fleet.wait_until(lambda: self.receives_no_calls(self.nodes["items-ikeja"].upstream),
                              "the well-formed record is applied")
        self.assertEqual(self.nodes["orders-lekki"].call().status, 200)

    # ---------------------------------------------------------------- upstreams

    def test_routes_no_call_to_a_draining_upstream_or_an_evacuated_zone(self):
        self.start_fleet()
        leaving = self.nodes["items-ikeja"].upstream
        self.assertEqual(leaving.drain(), 200)
        self.assertTrue(self.receives_no_calls(leaving))
        self.store.put("op/evacuate/lekki", {})
        evacuated = self.nodes["items-lekki"].upstream
        self.fleet.wait_until(lambda: self.receives_no_calls(evacuated),
                              "the evacuation is in force")
        response = self.nodes["items-ikeja"].call()
        self.assertEqual(response.status, 503)
        self.store.remove("op/evacuate/lekki")
        self.fleet.wait_until(lambda: self.nodes["items-ikeja"].call().status == 200,
                              "the zone serves again", 12.0)

    def test_routes_no_call_to_a_deregistered_upstream(self):
        self.start_fleet()
        leaving = self.nodes["items-ikeja"].upstream
        self.assertEqual(leaving.deregister(), 200)
        self.assertTrue(self.receives_no_calls(leaving))

    def test_does_not_serve_through_another_process_at_the_upstreams_address(self):
        self.start_fleet()
        node = self.nodes["orders-ikeja"]
        old = node.upstream
        old.stop()
        old.instance = "i-stranger"
        old.start_serving = True
        self.fleet.event_loop.run(old.open())
        for number in range(6):
            response = self.nodes["items-ikeja"].call("POST", "/orders/1", b"x",
                                                      attempt=f"r{number}")
            self.assertEqual(response.status, 200, (number, response.body, self.fleet.folder))
            self.assertEqual(self.run_count(f"r{number}"), 1)
        self.assertEqual(len([a for a in old.attempts() if a.startswith("r")]), 0)

    def test_limits_the_call_rate_of_a_cold_upstream(self):
        self.start_fleet()
        for upstream in self.upstreams("items"):
            upstream.cold_seconds_left = 3.0
            self.fleet.wait_until(lambda u=upstream: u.acknowledged_heartbeats > 2,
                                  "announcements are acknowledged")
        time.sleep(0.5)
        begun = time.monotonic()
        threads = [threading.Thread(target=lambda: [self.nodes["items-ikeja"].call(budget=400)
                                                    for _ in range(10)]) for _ in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for upstream in self.upstreams("items"):
            times = [at for at, _, _ in upstream.runs if at >= begun]
            most = max((sum(1 for t in times if at <= t < at + 1.0) for at in times), default=0)
            self.assertLessEqual(most, 13 * 1.5 + 5)

    # ---------------------------------------------------------------- moves

    def start_move(self, version, length):
        for zone in ("ikeja", "lekki"):
            node = self.fleet.add_node(f"new-{zone}", zone, "items")
            node.start()
            node.add_upstream(version)
        self.fleet.wait_until_upstreams_known()
        self.store.put("op/rollout/items", {"service": "items", "targetVersion": version,
                                            "rampS": length})

    def call_for(self, seconds):
        """Calls through all nodes of the old version for some seconds. Returns the statuses."""
        statuses = []
        end = time.monotonic() + seconds

        def run(node):
            while time.monotonic() < end:
                statuses.append(node.call().status)

        threads = [threading.Thread(target=run, args=(node,)) for node in self.nodes.values()]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return statuses

    def test_moves_to_a_good_version_in_time(self):
        self.start_fleet()
        self.start_move("v2", 8)
        statuses = self.call_for(9)
        status = self.store.value("status/rollout/items")
        self.assertEqual(status, {"state": "completed", "targetVersion": "v2"})
        self.assertEqual(set(statuses), {200})
        old = self.nodes["items-ikeja"].upstream
        self.assertTrue(self.receives_no_calls(old))

    def test_takes_a_bad_version_back(self):
        self.start_fleet()
        self.start_move("v2", 8)
        for node in self.fleet.nodes[-2:]:
            node.upstream.override_response = lambda request: Response(
                500, headers={ATTEMPT: request.header(ATTEMPT), STAMP: "bad"})
        self.call_for(6)
        self.fleet.wait_until(lambda: (self.store.value("status/rollout/items") or {}).get("state")
                              == "rolled_back", "the version is taken back", 4.0)
        self.assertTrue(self.receives_no_calls(self.fleet.nodes[-1].upstream))

    # ---------------------------------------------------------------- shutdown and settings

    def test_planned_stop_answers_requests_whose_heads_are_half_sent(self):
        self.start_fleet()
        node = self.nodes["items-ikeja"]
        half = b"GET /items/1 HTTP/1.1\r\nHost: shop.example\r\n"
        rest = b"X-Boragetrack-Attempt-Id: half\r\nX-Boragetrack-Time-Budget-Ms: 2000\r\n\r\n"
        responses = []

        def finish(connection):
            try:
                time.sleep(0.4)
                connection.sendall(rest)
                responses.append(connection.recv(65536))
            except OSError:
                responses.append(b"")
            finally:
                connection.close()

        threads = []
        node.process.terminate()
        while True:
            try:
                connection = socket.create_connection(("127.0.0.1", node.caller_port), timeout=4)
                connection.sendall(half)
            except OSError:
                break
            threads.append(threading.Thread(target=finish, args=(connection,)))
            threads[-1].start()
            time.sleep(0.05)
        for thread in threads:
            thread.join()
        # The last connection may have been made in the moment in which the listener was closed.
        answered = [response for response in responses if response.startswith(b"HTTP/1.1 ")]
        self.assertGreater(len(answered), 1)
        self.assertGreaterEqual(len(answered), len(threads) - 1, responses)

    def test_planned_stop_cuts_no_call_and_reports_not_ready(self):
        self.start_fleet()
        for upstream in self.upstreams("items"):
            upstream.service_time = 0.2
        node = self.nodes["orders-ikeja"]
        responses = []
        cut = []
        stop = threading.Event()

        def run():
            while not stop.is_set():
                attempt = self.fleet.next_attempt()
                try:
                    responses.append(node.call(attempt=attempt).status)
                except ConnectionRefusedError:
                    return
                except (ConnectionError, http.client.HTTPException):
                    cut.append(attempt)

        threads = [threading.Thread(target=run) for _ in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        node.process.terminate()
        self.fleet.wait_until(lambda: not node.is_ready(), "the node is not ready", 1.0)
        self.assertEqual(node.process.wait(8.0), 0)
        stop.set()
        for thread in threads:
            thread.join()
        self.assertEqual(set(responses) - {200, 503}, set())
        self.assertEqual([self.run_count(attempt) for attempt in cut], [0] * len(cut))
        self.assertLessEqual(len(cut), len(threads), "only connections that were never read")
        self.assertIn("E102 node stopped drained=yes", node.log_text())

    def test_reloads_changed_settings_with_and_without_a_signal(self):
        self.start_fleet()
        node = self.nodes["items-ikeja"]
        node.write_settings(repeats={"windowSeconds": 10, "reserve": 7})
        node.process.signal(signal.SIGHUP)
        self.fleet.wait_until(lambda: "E111 settings reloaded" in node.log_text(),
                              "settings are reloaded on SIGHUP", 3)
        node.write_settings(repeats={"windowSeconds": -1})
        self.fleet.wait_until(lambda: "E110 changed settings refused" in node.log_text(),
                              "the changed file is detected", 5.0)
        self.assertEqual(node.call().status, 200)


if __name__ == "__main__":
    unittest.main()
