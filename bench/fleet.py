"""Runs a fleet of processes on loopback: platform stand-in, nodes and upstream stand-ins.

Each process is stopped by the object that started it, through its own process id.
"""

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.error
import urllib.request
from pathlib import Path

BUILD = Path(os.environ.get("BORAGETRACK_BUILD", Path(__file__).parent.parent / "build"))
TOKEN = "operators-token"
# Parent folder of the logs and journals of a run; on a machine with a slow disk, which would delay
# the stand-ins, set it to a folder in memory.
SCRATCH = os.environ.get("BORAGETRACK_SCRATCH")


class PortPool:
    """Allocates free loopback ports from a first port upward, below the ephemeral port range."""

    def __init__(self, first=11000):
        self._next = first

    def take(self):
        """Returns the next port that no process listens on."""
        while True:
            port = self._next
            self._next += 1
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                    return port
                except OSError:
                    continue


def http(method, port, path, body=None, token=None, timeout=5.0):
    """Sends a request. Returns (status, body); status 0 means no response within the timeout (s).

    A body that is a dict or list is sent as JSON.
    """
    data = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", data, method=method)
    if token:
        request.add_header("Authorization", f"Bearer {token}")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except (OSError, ValueError):
        return 0, ""


def counters_from(text):
    """Parses a metrics page, which has a name and a value on each line."""
    return {name: int(value) for name, value in (line.split() for line in text.splitlines())}


class Process:
    """A child process whose output is appended to a log file."""

    def __init__(self, arguments, log):
        self.arguments = [str(argument) for argument in arguments]
        self.log = log
        self._child = None
        self.start()

    def start(self):
        """Starts the process, or restarts it after it has ended."""
        with open(self.log, "ab") as log:
            self._child = subprocess.Popen(
                self.arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    @property
    def pid(self):
        return self._child.pid

    def is_running(self):
        return self._child.poll() is None

    def signal(self, number):
        if self.is_running():
            self._child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self._child.wait()

    def terminate(self):
        self.signal(signal.SIGTERM)

    def wait(self, timeout=30.0):
        try:
            return self._child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
            return None


class Upstream:
    """An upstream stand-in, which announces itself to a node and records its runs in a journal."""

    def __init__(self, fleet, node, service, version, options):
        self.port = fleet.ports.take()
        self.service = service
        self.version = version
        self.journal = fleet.folder / f"journal-{self.port}.txt"
        arguments = [BUILD / "standin-upstream", "--port", self.port, "--service", service]
        arguments += ["--version", version, "--journal", self.journal]
        arguments += ["--node-port", node.operator_port]
        for name, value in options.items():
            arguments += [f"--{name}", value]
        self.process = Process(arguments, fleet.folder / f"upstream-{self.port}.log")

    def runs(self):
        """Returns the runs as (wall time in ms, method, id, is degraded, is cold overload)."""
        if not self.journal.exists():
            return []
        records = []
        for line in self.journal.read_text().splitlines():
            parts = line.split(" ")
            if len(parts) == 5:
                records.append(
                    (int(parts[0]), parts[1], parts[2], parts[3] == "1", parts[4] == "1")
                )
        return records


class Node:
    """A boragetrackd and its co-located upstream stand-in, if any."""

    def __init__(self, fleet, name, data_centre, experiment=None):
        self.fleet = fleet
        self.name = name
        self.data_centre = data_centre
        self.caller_port = fleet.ports.take()
        self.peer_port = fleet.ports.take()
        self.operator_port = fleet.ports.take()
        self.upstream = None
        self.process = None
        self._experiment = experiment or {}

    def start(self):
        """Starts the node, or restarts it; settings are written at the first start."""
        if self.process is not None:
            self.process.start()
            return
        address = lambda port: {"host": "127.0.0.1", "port": port}
        settings = {
            "node": self.name,
            "dataCentre": self.data_centre,
            "callers": address(self.caller_port),
            "peers": address(self.peer_port),
            "operators": address(self.operator_port),
            "operatorToken": TOKEN,
            "platform": address(self.fleet.platform_port),
            "seeds": [address(node.peer_port) for node in self.fleet.seeds()],
            "experiment": self._experiment,
        }
        path = self.fleet.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings, indent=1))
        log = self.fleet.folder / f"{self.name}.log"
        self.process = Process([BUILD / "boragetrackd", "--settings", path], log)

    def add_upstream(self, service, version, **options):
        """Starts a co-located upstream stand-in with the given command-line options."""
        options = {name.replace("_", "-"): value for name, value in options.items()}
        self.upstream = Upstream(self.fleet, self, service, version, options)
        return self.upstream

    def status(self):
        """Returns the node's status, or None without a response."""
        code, text = http("GET", self.operator_port, "/v1/status", token=TOKEN, timeout=2.0)
        return json.loads(text) if code == 200 else None

    def metrics(self):
        """Returns the node's counters by name; empty without a response."""
        code, text = http("GET", self.operator_port, "/metrics", timeout=2.0)
        return counters_from(text) if code == 200 else {}

    def processor_seconds(self):
        """Returns the user and system processor time of the node's process in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_mb(self):
        """Returns the node's resident memory in MiB."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) / 1024


class Fleet:
    """Owns the processes of a fleet and the folder of their settings and logs.

    Used as a context manager, it stops all processes at the end and keeps the logs after an error.
    """

    SEEDS_PER_DATA_CENTRE = 2

    def __init__(self, first_port=11000):
        self.folder = Path(tempfile.mkdtemp(prefix="boragetrack-", dir=SCRATCH))
        self.ports = PortPool(first_port)
        self.nodes = []
        self.replaced_upstreams = []
        self.platform_port = self.ports.take()
        self.platform = Process(
            [BUILD / "standin-platform", "--port", self.platform_port],
            self.folder / "platform.log",
        )

    def __enter__(self):
        return self

    def __exit__(self, error_type, *_):
        self.stop(keep_logs=error_type is not None)

    def seeds(self):
        """Returns the first nodes of each data centre, which all nodes use as seeds."""
        counts = {}
        seeds = []
        for node in self.nodes:
            counts[node.data_centre] = counts.get(node.data_centre, 0) + 1
            if counts[node.data_centre] <= self.SEEDS_PER_DATA_CENTRE:
                seeds.append(node)
        return seeds

    def add_node(self, name, data_centre, **experiment):
        """Adds a node without starting it."""
        node = Node(self, name, data_centre, experiment)
        self.nodes.append(node)
        return node

    def deploy(self, deployment, upstream_options=None, **experiment):
        """Starts a node and an upstream for each server of a deployment, over all data centres."""
        position = 0
        for service in deployment.services:
            for number in range(service.servers):
                data_centre = deployment.data_centres[position % len(deployment.data_centres)]
                position += 1
                self.add_node(f"{service.name}-{number}", data_centre, **experiment)
        position = 0
        for node in self.nodes:
            node.start()
        for service in deployment.services:
            for number in range(service.servers):
                node = self.nodes[position]
                position += 1
                node.add_upstream(service.name, service.version, **(upstream_options or {}))

    def write_operator_settings(self):
        """Writes the settings of the boragetrack command and returns their path."""
        path = self.folder / "operators.json"
        nodes = [{"host": "127.0.0.1", "port": node.operator_port} for node in self.seeds()]
        text = json.dumps(
            {
                "operator": "adaeze",
                "operatorToken": TOKEN,
                "platform": {"host": "127.0.0.1", "port": self.platform_port},
                "nodes": nodes,
            }
        )
        # Commands run concurrently from several threads: replace the file atomically.
        temporary = self.folder / f"operators-{threading.get_ident()}.json"
        temporary.write_text(text)
        temporary.replace(path)
        return path

    def command(self, *words, timeout=60.0):
        """Runs a boragetrack command. Returns its exit code and its JSON output.

        Output that is not JSON is returned under the key "text".
        """
        settings = self.write_operator_settings()
        result = subprocess.run(
            [BUILD / "boragetrack", *map(str, words), "--json", "--settings", settings],
            capture_output=True,
            text=True,
            timeout=timeout,
        )
        try:
            return result.returncode, json.loads(result.stdout)
        except ValueError:
            return result.returncode, {"text": result.stdout + result.stderr}

    def apply(self, intent, reason="first intent", wait=True):
        """Stores an intent by "boragetrack apply". Returns the exit code and the JSON output."""
        path = self.folder / "intent.json"
        path.write_text(json.dumps(intent))
        return self.command("apply", path, "--reason", reason, *(["--wait"] if wait else []))

    def faults(self, **faults):
        """Sets the faults of the platform stand-in; without arguments, clears them."""
        http("POST", self.platform_port, "/faults", faults)

    def platform_stats(self):
        """Returns the counters of the platform stand-in."""
        return counters_from(http("GET", self.platform_port, "/stats")[1])

    def wait_until(self, condition, timeout=20.0, what="the fleet"):
        """Waits until a condition is true; raises TimeoutError after the timeout (s)."""
        limit = time.monotonic() + timeout
        while time.monotonic() < limit:
            if condition():
                return
            time.sleep(0.05)
        raise TimeoutError(f"{what} was not ready within {timeout} s; logs in {self.folder}")

    def wait_for_members(self, count=None, timeout=30.0):
        """Waits until all running nodes know the given number of members (default: all)."""
        count = count or len(self.nodes)

        def is_known():
            reports = [node.status() for node in self.nodes if node.process.is_running()]
            return all(report and report["members"] >= count for report in reports)

        self.wait_until(is_known, timeout, "membership")

    def wait_for_upstreams(self, timeout=20.0):
        """Waits until every node knows all upstreams as serving."""
        expected = sum(1 for node in self.nodes if node.upstream)

        def is_known():
            for node in self.nodes:
                code, text = http("GET", node.operator_port, "/v1/members", token=TOKEN)
                members = json.loads(text) if code == 200 else []
                if sum(1 for member in members if member["upstream"] == "serving") < expected:
                    return False
            return True

        self.wait_until(is_known, timeout, "upstreams")

    def nodes_in_data_centre(self, name):
        """Returns the nodes of a data centre."""
        return [node for node in self.nodes if node.data_centre == name]

    def stop(self, keep_logs=False):
        """Kills all processes of this fleet and removes its folder unless keep_logs is set."""
        processes = [node.process for node in self.nodes if node.process]
        processes += [node.upstream.process for node in self.nodes if node.upstream]
        processes += [upstream.process for upstream in self.replaced_upstreams]
        for process in processes:
            process.kill()
        self.platform.kill()
        if not keep_logs:
            shutil.rmtree(self.folder, ignore_errors=True)
