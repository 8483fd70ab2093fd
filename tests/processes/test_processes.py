"""Tests processes end to end: call path, malformed input, faults and planned shutdown."""

import json
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "bench"))

from deployments import LATEXLEKH  # noqa: E402
from fleet import BUILD, TOKEN, Fleet, http  # noqa: E402
from load import Load, check_outcomes  # noqa: E402


def exchange(port, data):
    """Sends raw bytes and closes the sending side. Returns what is received until the end."""
    with socket.create_connection(("127.0.0.1", port), timeout=3) as connection:
        connection.settimeout(3)
        received = b""
        try:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            while chunk := connection.recv(65536):
                received += chunk
        except OSError:
            pass
        return received


class FleetTest(unittest.TestCase):
    """Tests that share one small deployment."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(18000)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.deploy(LATEXLEKH, {"service-us": 2000, "cold-ms": 200})
        cls.fleet.wait_for_members()
        code, output = cls.fleet.apply(LATEXLEKH.intent())
        assert code == 0, output
        cls.fleet.wait_for_upstreams()

    def ports(self):
        return [node.caller_port for node in self.fleet.nodes]

    def upstreams(self):
        return [node.upstream for node in self.fleet.nodes]

    def load(self, prefix, **options):
        options = {"rate": 150, "seconds": 3, "connections": 12, "read": ["/ledger/day"],
                   "post": ["/payouts/one"], **options}
        return Load(self.fleet, self.ports(), prefix, **options)

    def assert_no_violations(self, counts):
        for name in ("lost", "doubled", "wrong_answers", "false_not_run"):
            self.assertEqual(counts[name], 0, counts)

    def test_serves_calls_through_two_nodes(self):
        counts = check_outcomes(self.load("a").calls(), self.upstreams())
        self.assertEqual(counts["ok"], counts["calls"], counts)
        self.assert_no_violations(counts)

    def test_responds_to_a_duplicate_key_through_another_node_with_one_run(self):
        first, second = self.fleet.nodes[0], self.fleet.nodes[5]
        responses = []
        for node in (first, second, first):
            command = ["curl", "-s", "-X", "POST", "-H", "Idempotency-Key: same", "-H",
                       "X-Request-Id: same", "--data", "x",
                       f"http://127.0.0.1:{node.caller_port}/payouts/one"]
            responses.append(subprocess.run(command, capture_output=True, text=True).stdout)
        runs = [run for up in self.upstreams() for run in up.runs() if run[2] == "same"]
        self.assertEqual(len(runs), 1)
        self.assertEqual(responses[0], responses[1])
        self.assertEqual(responses[0], responses[2])

    def test_survives_load_beyond_capacity(self):
        counts = check_outcomes(self.load("f", rate=3000, seconds=2, connections=300, tries=1,
                                          read=[], post=["/payouts/flood"]).calls(),
                                self.upstreams())
        self.assert_no_violations(counts)
        self.assertTrue(all(node.process.is_running() for node in self.fleet.nodes))

    def test_survives_malformed_input(self):
        node = self.fleet.nodes[0]
        garbage = bytes(range(256)) * 64
        exchange(node.peer_port, garbage)
        exchange(node.peer_port, b"\xff" * 4096)
        exchange(node.caller_port, garbage)
        exchange(node.caller_port, b"GET /" + b"a" * 100_000 + b" HTTP/1.1\r\n\r\n")
        exchange(node.operator_port,
                 b"POST /v1/announce HTTP/1.1\r\nContent-Length: 5\r\n\r\n{{{{{")
        status, text = http("POST", node.caller_port, "/payouts/x", b"x" * 1_100_000)
        self.assertEqual(status, 413, text)
        self.assertTrue(node.process.is_running())
        self.assertEqual(http("GET", node.caller_port, "/ledger/day")[0], 200)

    def test_requires_the_operators_token(self):
        node = self.fleet.nodes[0]
        self.assertEqual(http("GET", node.operator_port, "/v1/status")[0], 401)
        self.assertEqual(http("GET", node.operator_port, "/v1/status", token="wrong-token")[0], 401)
        self.assertEqual(http("GET", node.operator_port, "/v1/status", token=TOKEN)[0], 200)

    def test_refuses_an_unknown_route_as_not_run(self):
        status, text = http("GET", self.fleet.nodes[0].caller_port, "/nowhere")
        self.assertEqual(status, 404)
        self.assertIn("no route covers /nowhere", text)

    def test_command_line_reports_outcomes_by_exit_codes(self):
        command = self.fleet.command
        self.assertEqual(command("default", "set", "callTimeoutMs", "1900", "--reason", "t",
                                 "--wait")[0], 0)
        self.assertEqual(command("default", "set", "callTimeoutMs", "1", "--reason", "t")[0], 1)
        self.assertEqual(command("exception", "add", "e", "callTimeoutMs", "900")[0], 2)
        self.assertEqual(command("move", "start", "payout-books", "--from", "v1", "--to", "v9",
                                 "--by", "+60s", "--reason", "t")[0], 1)
        self.fleet.faults(out=True)
        self.addCleanup(self.fleet.faults)
        self.assertEqual(command("default", "set", "callTimeoutMs", "1800", "--reason", "t")[0], 3)
        self.fleet.faults()
        _, history = command("history")
        actions = [change["action"] for change in history["changes"]]
        self.assertIn("default set callTimeoutMs 1900", actions)
        self.assertNotIn("default set callTimeoutMs 1800", actions)

    def test_data_centre_that_is_out_gets_no_calls_and_its_callers_are_served(self):
        name = LATEXLEKH.data_centres[0]
        load = self.load("o", seconds=5)
        time.sleep(0.5)
        self.assertEqual(self.fleet.command("datacentre", "out", name, "--reason", "t",
                                            "--wait")[0], 0)
        time.sleep(1.0)
        inside = [node.upstream for node in self.fleet.nodes_in_data_centre(name)]
        before = sum(len(upstream.runs()) for upstream in inside)
        time.sleep(1.0)
        after = sum(len(upstream.runs()) for upstream in inside)
        self.assertEqual(self.fleet.command("datacentre", "back", name, "--reason", "t",
                                            "--wait")[0], 0)
        counts = check_outcomes(load.calls(), self.upstreams())
        self.assertEqual(after, before)
        self.assertEqual(counts["ok"], counts["calls"], counts)
        self.assert_no_violations(counts)

    def test_leaving_upstream_finishes_its_calls_and_gets_no_new_ones(self):
        load = self.load("u", seconds=5, read=["/ledger/day"], post=["/ledger/entry"])
        time.sleep(0.5)
        node = self.fleet.nodes[3]
        node.upstream.process.terminate()
        node.upstream.process.wait()
        before = len(node.upstream.runs())
        time.sleep(0.5)
        self.assertEqual(len(node.upstream.runs()), before)
        node.upstream.process.start()
        counts = check_outcomes(load.calls(), self.upstreams())
        self.assertEqual(counts["ok"], counts["calls"], counts)
        self.assert_no_violations(counts)

    def test_planned_stop_of_a_node_cuts_no_call(self):
        load = self.load("s", seconds=4)
        time.sleep(1.0)
        node = self.fleet.nodes[1]
        node.process.terminate()
        self.assertEqual(node.process.wait(), 0)
        node.start()
        counts = check_outcomes(load.calls(), self.upstreams())
        self.assertEqual(counts["ok"], counts["calls"], counts)
        self.assert_no_violations(counts)

    def test_killed_and_suspended_nodes_cause_no_duplicate_runs(self):
        load = self.load("k", seconds=6, timeout_ms=2500)
        time.sleep(1.0)
        killed, suspended = self.fleet.nodes[2], self.fleet.nodes[8]
        killed.process.kill()
        suspended.process.signal(signal.SIGSTOP)
        time.sleep(2.0)
        suspended.process.signal(signal.SIGCONT)
        killed.start()
        counts = check_outcomes(load.calls(), self.upstreams())
        self.assert_no_violations(counts)
        self.fleet.wait_for_members()


class SettingsTest(unittest.TestCase):
    """Tests how the daemon and the command line report invalid files."""

    def run_daemon(self, settings):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(settings)
            file.flush()
            return subprocess.run([BUILD / "boragetrackd", "--settings", file.name],
                                  capture_output=True, text=True, timeout=10)

    def test_reports_all_errors_and_exits_with_2(self):
        address = {"host": "127.0.0.1", "port": 1}
        settings = {"node": "n", "dataCentre": "x", "callers": address, "peers": address,
                    "operators": address, "operatorToken": "operators-token",
                    "platform": {"host": "nowhere", "port": 2}, "seeds": []}
        result = self.run_daemon(json.dumps(settings))
        self.assertEqual(result.returncode, 2)
        for location in ("#/platform/host", "#/peers/port", "#/operators/port"):
            self.assertIn(location, result.stderr)

    def test_check_reports_the_location_of_an_error_in_an_intent(self):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write('{"services": 3}')
            file.flush()
            result = subprocess.run([BUILD / "boragetrack", "check", file.name],
                                    capture_output=True, text=True)
        self.assertEqual(result.returncode, 1)
        self.assertIn("#/services", result.stderr)


if __name__ == "__main__":
    unittest.main()
