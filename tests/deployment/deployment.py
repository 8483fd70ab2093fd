"""The deployment as processes: nodes, store, network, servers and clients."""

import json
import os
import tempfile
import threading
import time
from pathlib import Path

from client_host import ClientHost
from deployed_node import DeployedNode
from deployment_site import IDLE_ROUTES, MOVABLE, SERVICES, ZONES, fixed_rules
from disturbance_log import DisturbanceLog
from fleet import http
from intent_versions import IntentVersions
from network_host import NetworkHost
from platform_fleet import ReservedPorts
from remote_host import RemoteHost
from server_host import ServerHost
from store_host import StoreHost


class Deployment:
    """Starts all processes, and changes the configuration and the machines while they run."""

    # The port at which nodes call the store: "store" is the gate's, "entrance" the store's own.
    store_port = "store"

    def __init__(self, seed, first_port, rate, test_rate, split_share=0.0, idle_priority=3,
                 is_store_direct=False):
        self.folder = Path(tempfile.mkdtemp(prefix="boragetrack-deployment-",
                                            dir=os.environ.get("BORAGETRACK_SCRATCH")))
        self._ports = ReservedPorts(first_port)
        self._rates = (rate, test_rate)
        if is_store_direct:
            self.store_port = "entrance"
        self._store_port = self._ports.take()
        self.store = RemoteHost(StoreHost, self._store_port)
        self.network = RemoteHost(NetworkHost, seed)
        self.clients = RemoteHost(ClientHost, seed)
        self._server_hosts = [RemoteHost(ServerHost) for _ in ZONES]
        self.versions = IntentVersions(seed, SERVICES, fixed_rules(), MOVABLE, IDLE_ROUTES,
                                       split_share, idle_priority)
        self.disturbances = DisturbanceLog()
        self.nodes = {}
        self.starts = {}
        self._change_lock = threading.Lock()

    def start(self):
        self.change()
        for zone, services in ZONES.items():
            for number, service in enumerate(services, 1):
                self._add(f"sidecar-{zone}-{number}", zone, service)
        for node in self.nodes.values():
            self.start_node(node)
        for node in self.nodes.values():
            self._servers_of(node).call("add", node.name, node.ports, node.service)
        end = time.monotonic() + 30
        while any(self._endpoints(node) < len(self.nodes) for node in self.nodes.values()):
            if time.monotonic() > end:
                raise RuntimeError(f"the nodes do not know all servers; logs in {self.folder}")
            time.sleep(0.1)
        for node in self.nodes.values():
            self._add_clients(node)

    def stop(self):
        for node in self.nodes.values():
            if node.is_running():
                node.process.kill()
        for host in (self.clients, *self._server_hosts, self.network, self.store):
            host.stop()
        self._ports.release()

    def outcomes(self):
        """Returns the outcomes of all requests of clients and servers."""
        return [outcome for host in (self.clients, *self._server_hosts)
                for outcome in host.call("outcomes")]

    def change(self, added=0, rejection=None, delay=0.0):
        """Writes the next version; others wait meanwhile. Parameters rejection and delay as in
        StoreHost. Returns when it was acknowledged, and the store's revision."""
        with self._change_lock:
            text = json.dumps(self.versions.change(added))
            self.versions.record_sent(time.monotonic())
            acknowledged_at, revision = self.store.call("put_configuration_between", text,
                                                        rejection, delay)
            self.versions.record_acknowledged(acknowledged_at)
            self.clients.call("set_recent", self.versions.recent)
        return acknowledged_at, revision

    # ------------------------------------------------------------------ machines

    def start_node(self, node):
        node.start()
        self.starts[node.name].append(time.monotonic())
        self.network.call("set_pid", node.name, node.process.pid)

    def join(self, name, zone, service):
        """Adds a machine with a server, which gets clients once it is ready."""
        node = self._add(name, zone, service)
        disturbance = self.disturbances.begin(name)
        self.start_node(node)
        self._servers_of(node).call("add", name, node.ports, service)
        self._wait_until_ready(node)
        self.disturbances.end(disturbance)
        self._add_clients(node)

    def leave(self, node, delay):
        """Drains a machine's server, and stops its node for good after a delay (s)."""
        with node.lock:
            if node.has_left or not node.is_running():
                return
            node.has_left = True
        self._servers_of(node).call("drain", node.name)
        time.sleep(2.2 + delay)
        self._servers_of(node).call("remove", node.name)
        disturbance = self.disturbances.begin(node.name)
        node.process.terminate()
        self.disturbances.end(disturbance)
        node.process.wait(6.0)
        self.clients.call("remove", node.name)
        self.disturbances.begin(node.name)

    def burst(self, factor, seconds):
        """Multiplies the requests of all clients for some seconds."""
        self.clients.call("set_factor", factor)
        time.sleep(seconds)
        self.clients.call("set_factor", 1.0)

    def kill(self, nodes, pause):
        """Kills processes, and starts them again after a pause (s)."""
        disturbances = [self.disturbances.begin(node.name) for node in nodes]
        for node in nodes:
            if node.is_running():
                node.process.kill()
        time.sleep(pause)
        for node in nodes:
            self.restart(node)
        for disturbance in disturbances:
            self.disturbances.end(disturbance)

    def end_by_itself(self, node, pause):
        """Ends a process as one that ends by itself: that excuses nothing."""
        with node.lock:
            if node.has_left or not node.is_running():
                return
            node.process.kill()
        time.sleep(pause)
        self.restart(node)

    def stop_and_start(self, node, grace):
        """Stops a node as planned, kills it after the grace period (s), and starts it again."""
        disturbance = self.disturbances.begin(node.name)
        node.process.terminate()
        self.disturbances.end(disturbance)
        node.process.wait(grace)
        disturbance = self.disturbances.begin(node.name)
        self.restart(node)
        self.disturbances.end(disturbance)

    def freeze(self, nodes, seconds):
        disturbances = [self.disturbances.begin(node.name) for node in nodes]
        for node in nodes:
            node.freeze()
        time.sleep(seconds)
        for node in nodes:
            node.thaw()
        for disturbance in disturbances:
            self.disturbances.end(disturbance)

    def restart(self, node):
        with node.lock:
            if not node.has_left and not node.is_running():
                self.start_node(node)

    def running(self):
        return [n for n in self.nodes.values() if n.is_running() and not n.has_left]

    def running_pids(self):
        return [node.process.pid for node in list(self.nodes.values())
                if node.is_running() and not node.is_frozen]

    # ------------------------------------------------------------------

    def _add(self, name, zone, service):
        node = DeployedNode(name, zone, service, self._ports, self.folder, ZONES,
                            self.store_port)
        self.nodes[name] = node
        self.starts[name] = []
        self.store.call("add", name, node.ports["entrance"])
        self.network.call("add", name, node.ports["links"], node.ports["peers"],
                          node.ports["store"], node.ports["entrance"])
        return node

    def _add_clients(self, node):
        self.clients.call("add", node.name, node.ports["callers"], *self._rates)

    def _servers_of(self, node):
        return self._server_hosts[list(ZONES).index(node.zone)]

    @staticmethod
    def _endpoints(node):
        code, text = http("GET", node.ports["operators"], "/v1/status", token="operators-token",
                          timeout=2.0)
        return json.loads(text)["endpoints"] if code == 200 else 0

    @staticmethod
    def _wait_until_ready(node):
        end = time.monotonic() + 10
        while time.monotonic() < end:
            if http("GET", node.ports["readiness"], "/api/readiness", timeout=1.0)[0] == 200:
                return
            time.sleep(0.05)
