"""A fleet on the platform's interface: store stand-in, nodes and upstream stand-ins on loopback."""

import http.client
import itertools
import json
import os
import socket
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "bench"))

from fleet import BUILD, TOKEN, PortPool, Process, counters_from, http as get_text  # noqa: E402

from asyncserver import EventLoopThread  # noqa: E402
from store import Store  # noqa: E402
from upstream import ATTEMPT, STAMP, Upstream  # noqa: E402

ZONES = ["ikeja", "lekki"]


def rule(name, prefix, kind="safe", service=None, split=None, timeout=2.0, attempts=2, priority=1):
    """Returns a routing rule of the operator's configuration.

    Calls go to a service, or are split over services by weight. Timeouts are in seconds.
    """
    action = {"timeoutS": timeout, "maxAttempts": attempts}
    if split:
        action["weightedSplit"] = [{"service": s, "weight": w} for s, w in split.items()]
    else:
        action["service"] = service
    return {"name": name, "kind": kind, "targetLatencyS": 0.5, "priority": priority,
            "match": {"prefix": prefix}, "action": action}


def configuration(number, rules, services, limits=None):
    """Returns the configuration document of a revision, with one host."""
    clusters = [{"name": service, "healthPath": "/health", "maxConns": 110, "protocol": "h1",
                 "tls": False, "coldStartS": 3.0, "coldPerS": 13.0} for service in services]
    return {"version": f"r{number}", "baseVersion": f"r{number - 1}",
            "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
                                 "headerTimeoutS": 1, "idleTimeoutS": 15},
            "listeners": [{"host": "shop.example", "ruleSet": rules}], "clusters": clusters}


class ReservedPorts(PortPool):
    """Ports that no connection gets as its ephemeral port before a server listens on them."""

    def __init__(self, first):
        super().__init__(first)
        self._holders = []

    def take(self):
        while True:
            port = super().take()
            holder = socket.socket()
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                holder.bind(("127.0.0.1", port))
            except OSError:
                holder.close()
                continue
            self._holders.append(holder)
            return port

    def release(self):
        for holder in self._holders:
            holder.close()


class ReceivedResponse:
    """A response as its caller received it."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def stamp(self):
        return self.headers.get(STAMP)


class PlatformNode:
    """A boragetrackd with the platform's interface, and its co-located upstream."""

    def __init__(self, fleet, name, zone, service):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.service = service
        take = fleet.ports.take
        self.caller_port, self.peer_port, self.operator_port = take(), take(), take()
        self.announcement_port, self.readiness_port, self.upstream_port = take(), take(), take()
        self.process = None
        self.upstream = None
        self.extra_settings = {}
        self.upstream_options = {}
        # Arguments before those of the node; a command that replaces itself by the node.
        self.launcher = []

    def write_settings(self, **changes):
        address = lambda port: f"127.0.0.1:{port}"
        settings = {
            "interface": "platform", "node": self.name, "dataCentre": self.zone,
            "service": self.service, "callers": address(self.caller_port),
            "announcements": address(self.announcement_port),
            "readiness": address(self.readiness_port),
            "peers": address(self.peer_port), "operators": address(self.operator_port),
            "platform": address(self.fleet.store.port), "dataCentres": ZONES,
            "operatorToken": TOKEN, "announcementLifeMs": 1500,
            "repeats": {"windowSeconds": 10, "reserve": 50},
            "seeds": [], **self.extra_settings, **changes,
        }
        path = self.fleet.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        return path

    def start(self):
        """Starts the node, or restarts it after it has ended."""
        if self.process is None:
            log = self.fleet.folder / f"{self.name}.log"
            self.process = Process([*self.launcher, BUILD / "boragetrackd", "--settings",
                                    self.write_settings()], log)
        else:
            self.process.start()

    def add_upstream(self, version="v1", **options):
        self.upstream = Upstream(self.fleet.event_loop, self.upstream_port, self.announcement_port,
                                 self.service, version,
                                 **{**self.upstream_options, **options})
        self.upstream.start()
        return self.upstream

    def is_ready(self):
        return get_text("GET", self.readiness_port, "/api/readiness", timeout=1.0)[0] == 200

    def endpoints(self):
        """Returns the number of upstreams to which this node routes calls."""
        code, text = get_text("GET", self.operator_port, "/v1/status", token=TOKEN, timeout=2.0)
        return json.loads(text)["endpoints"] if code == 200 else 0

    def metrics(self):
        code, text = get_text("GET", self.operator_port, "/metrics", timeout=2.0)
        return counters_from(text) if code == 200 else {}

    def log_text(self):
        return (self.fleet.folder / f"{self.name}.log").read_text(errors="replace")

    def call(self, method="GET", path="/items/1", body=b"", budget=2000, attempt=None,
             host="shop.example", headers=None, timeout=5):
        """Sends a request through this node.

        Parameter budget is the time budget in ms, timeout how long the caller waits in s.
        """
        attempt = attempt or self.fleet.next_attempt()
        connection = http.client.HTTPConnection("127.0.0.1", self.caller_port, timeout=timeout)
        try:
            connection.request(method, path, body or None, {
                "Host": host, ATTEMPT: attempt, "X-Boragetrack-Time-Budget-Ms": str(budget),
                **(headers or {})})
            response = connection.getresponse()
            return ReceivedResponse(response.status, dict(response.getheaders()), response.read())
        finally:
            connection.close()


class PlatformFleet:
    """Owns the store, the nodes, their upstreams and the folder of settings and logs."""

    def __init__(self, first_port):
        self.folder = Path(tempfile.mkdtemp(prefix="boragetrack-",
                                            dir=os.environ.get("BORAGETRACK_SCRATCH")))
        self.event_loop = EventLoopThread()
        self.ports = ReservedPorts(first_port)
        self.store = Store(self.event_loop, self.ports.take())
        self.store.start()
        self.nodes = []
        self._attempts = itertools.count(1)

    def next_attempt(self):
        return f"a{next(self._attempts):08x}"

    def add_node(self, name, zone, service):
        node = PlatformNode(self, name, zone, service)
        self.nodes.append(node)
        return node

    def start(self):
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            node.add_upstream()

    def wait_until(self, condition, what, timeout=15.0):
        """Waits until a condition is true; raises AssertionError after the timeout (s)."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(0.02)
        raise AssertionError(f"not within {timeout} s: {what}; logs in {self.folder}")

    def wait_for_line(self, text):
        """Waits until a node has logged a line with a text. Returns the line."""
        lines = []

        def is_logged():
            lines.extend(line for node in self.nodes for line in node.log_text().splitlines()
                         if text in line)
            return bool(lines)

        self.wait_until(is_logged, f"a line with {text}")
        return lines[0]

    def wait_until_served(self, path="/items/1"):
        for node in self.nodes:
            self.wait_until(lambda n=node: n.call(path=path).status == 200,
                            f"{node.name} serves calls")

    def wait_until_upstreams_known(self):
        """Waits until every node routes calls to every upstream."""
        count = sum(1 for node in self.nodes if node.upstream)
        for node in self.nodes:
            self.wait_until(lambda n=node: n.endpoints() == count,
                            f"{node.name} routes calls to all upstreams")

    def stop(self):
        for node in self.nodes:
            if node.upstream:
                node.upstream.stop()
            if node.process and node.process.is_running():
                node.process.kill()
        self.store.stop()
        self.event_loop.stop()
        self.ports.release()
