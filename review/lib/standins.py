"""Stand-ins for the platform's store, the servers and the clients, and a small deployment.

The stand-ins follow the protocol pages. The project's daemon runs as separate processes, with the
command of the deploy file and settings rendered from the deploy template. Every machine has a
loopback address of its own (127.x.y.z), so that all machines use the same ports, as the pages say.
"""

import asyncio
import base64
import json
import os
import re
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path
from urllib.parse import unquote

ROOT = Path(__file__).resolve().parents[2]
ATTEMPT = "X-Boragetrack-Attempt-Id"
BUDGET = "X-Boragetrack-Time-Budget-Ms"
STAMP = "X-Boragetrack-Response-Stamp"
TARGET = "X-Boragetrack-Target-Instance"
INSTANCE = "X-Boragetrack-Instance-Id"
NOT_EXECUTED = "X-Boragetrack-Not-Executed"
CALLER = "X-Boragetrack-Caller-Service"


STARTED = []  # all processes that this script started
FOLDERS = []  # its temporary folders; kept with the logs when the case couldn't run


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, kind, **fields):
        line = f"{time.monotonic() - self._start:9.3f} {kind}"
        for name, value in fields.items():
            line += f" {name}={value}"
        self._file.write(line + "\n")
        self._file.flush()

    def close(self):
        self._file.close()


# ------------------------------------------------------------------------------------ HTTP


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = {}
        for pair in query.split("&"):
            name, _, value = pair.partition("=")
            if name:
                self.query[name] = unquote(value)
        self.headers = headers
        self.body = body

    def header(self, name):
        return self.headers.get(name.lower())


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return head[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response_bytes(status, headers, body):
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Serves one request at a time on each connection; handle() returns (status, headers, body)."""

    def __init__(self):
        self._servers = []
        self._tasks = set()

    async def listen(self, host, port):
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(reader, writer, (host, port)), host, port,
            limit=1 << 20)
        self._servers.append(server)

    async def stop(self):
        for server in self._servers:
            server.close()
        self._servers = []
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer, door):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                start, headers = await read_head(reader)
                method, target, _ = start.split(" ", 2)
                request = Request(method, target, headers, await read_body(reader, headers))
                request.door = door
                handling = asyncio.ensure_future(self.handle(request))
                closed = asyncio.ensure_future(self._closed(reader))
                await asyncio.wait([handling, closed], return_when=asyncio.FIRST_COMPLETED)
                closed.cancel()
                if not handling.done():
                    handling.cancel()
                    return
                status, answer_headers, body = handling.result()
                writer.write(response_bytes(status, answer_headers, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    @staticmethod
    async def _closed(reader):
        while not reader.at_eof() and not reader.exception():
            await asyncio.sleep(0.02)

    async def handle(self, request):
        raise NotImplementedError


async def call_http(host, port, method, target, headers, body=b"", timeout=5.0):
    """Sends one request on a connection of its own. Returns (status, headers, body)."""

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method in ("PUT", "POST"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await writer.drain()
            start, answer_headers = await read_head(reader)
            answer = await read_body(reader, answer_headers)
            return int(start.split(" ")[1]), answer_headers, answer
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


# ------------------------------------------------------------------------------------ the store


class Store(HttpServer):
    """The platform's store. Each machine reaches it by an address of its own (a door), so that it
    can serve some machines and give others no response."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.silent_doors = set()
        self.waiting = {}  # door -> number of watches that wait
        self.watch_began = {}  # door -> when its last watch began
        self._changed = asyncio.Event()
        self._last_lease = 100

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def value(self, key):
        """Returns the value of a key, or None."""
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    def put(self, key, value):
        """A write of the operator; its return is the acknowledgement."""
        self._set(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
        self._notify()

    def remove(self, key):
        self._remove(key)
        self._notify()

    def _set(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created": created,
                "lease": lease}
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "deleted": True})

    def _expire(self):
        now = time.monotonic()
        ended = [lease for lease, (_, end) in self.leases.items() if end <= now]
        for lease in ended:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self._remove(key)
        self._notify()

    async def handle(self, request):
        # A machine that gets no response: the call is lost, and so is its connection.
        if request.door in self.silent_doors:
            await self.lose()
        await asyncio.sleep(0.004)
        status, body = await self._respond(request)
        if request.door in self.silent_doors:
            await self.lose()
        return status, {"Content-Type": "application/json"}, json.dumps(body).encode()

    @staticmethod
    async def lose():
        await asyncio.Event().wait()

    async def _respond(self, request):
        self._expire()
        path = request.path
        if path == "/api/kv-key":
            item = self.items.get(request.query.get("key", ""))
            return (200, {**item, "currentRev": self.revision}) if item else (404, {})
        if path == "/api/kv-range":
            prefix, after = request.query.get("prefix", ""), request.query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "truncated": len(keys) > 500, "currentRev": self.revision}
        if path == "/api/kv-watch":
            return await self._watch(request)
        if path == "/api/kv-txn":
            return self._transact(json.loads(request.body))
        if path == "/api/kv-lease":
            ttl = json.loads(request.body)["ttlS"]
            self._last_lease += 1
            self.leases[self._last_lease] = (ttl, time.monotonic() + ttl)
            return 200, {"lease": self._last_lease, "ttlS": ttl}
        if path.startswith("/api/kv-keep/") or path.startswith("/api/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            if "lease-end" in path:
                self._end_lease(lease)
                return 200, {}
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"ttlS": ttl}
        return 404, {}

    async def _watch(self, request):
        prefix, after = request.query.get("prefix", ""), int(request.query["after"])
        end = time.monotonic() + int(request.query.get("waitMs", "0")) / 1000
        door = request.door
        self.waiting[door] = self.waiting.get(door, 0) + 1
        self.watch_began[door] = time.monotonic()
        try:
            while True:
                events = [e for e in self.history
                          if e["revision"] > after and e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "currentRev": self.revision}
                try:
                    await asyncio.wait_for(self._changed.wait(), min(left, 1.0))
                except asyncio.TimeoutError:
                    self._expire()
        finally:
            self.waiting[door] -= 1

    def _transact(self, body):
        for row in body.get("expectedRev", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                rows = [self.items[r["key"]] for r in body["expectedRev"] if r["key"] in self.items]
                return 412, {"items": rows}
        for write in body.get("writes", []):
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
        for write in body.get("writes", []):
            self._set(write["key"], write["value"], write.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        self._notify()
        return 200, {"revision": self.revision}


# ------------------------------------------------------------------------------------ servers


class AppServer(HttpServer):
    """The application server of a machine; it announces itself to the node beside it."""

    def __init__(self, machine, record, instance=None, version="v1", work_s=0.02,
                 failing=0.0):
        super().__init__()
        self.machine = machine
        self.record = record
        self.instance = instance or f"i-{machine.name}"
        self.version = version
        self.work_s = work_s
        self.failing = failing  # the share of the requests that fail
        self._failures = 0.0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.bad_answers = []  # monotonic times
        self.runs = []  # (monotonic time of arrival, attempt id, target)
        self._beats = None

    async def start(self):
        await self.listen(self.machine.ip, self.machine.ports["app"])
        self._beats = asyncio.ensure_future(self._send_beats())

    async def stop(self):
        self.stop_beats()
        await super().stop()

    def stop_beats(self):
        if self._beats:
            self._beats.cancel()

    async def handle(self, request):
        if request.path == "/health":
            return (200 if self.state == "ready" else 503), {INSTANCE: self.instance}, b""
        attempt = request.header(ATTEMPT)
        echo = {ATTEMPT: attempt} if attempt else {}
        expected = request.header(TARGET)
        if expected and expected != self.instance:
            return 421, {**echo, INSTANCE: self.instance}, b""
        if not attempt:
            return 400, {NOT_EXECUTED: "1"}, b""
        self.runs.append((time.monotonic(), attempt, request.target))
        self.record.write("run", instance=self.instance, service=self.machine.service,
                          attempt=attempt, target=request.target,
                          caller=request.header(CALLER))
        await asyncio.sleep(self.work_s)
        self._failures += self.failing
        if self._failures >= 1.0:
            self._failures -= 1.0
            self.bad_answers.append(time.monotonic())
            return 500, {**echo, STAMP: f"s.{self.instance}.{attempt}"}, b"failed"
        return 200, {**echo, STAMP: f"s.{self.instance}.{attempt}"}, b"done " + attempt.encode()

    def next_beat(self):
        self.sequence += 1
        return {"service": self.machine.service,
                "address": f"{self.machine.ip}:{self.machine.ports['app']}",
                "zone": self.machine.zone, "version": self.version, "slots": 9,
                "state": self.state, "coldLeftS": 0, "seqNum": self.sequence, "born": self.born}

    async def send(self, method, body):
        """Sends a call to the node's control address. Returns whether it was acknowledged."""
        try:
            status, _, _ = await call_http(
                self.machine.ip, self.machine.ports["control"], method,
                f"/api/instances/{self.instance}",
                {"Host": "control", "Content-Type": "application/json"},
                json.dumps(body).encode(), timeout=1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            status = 0
        self.record.write("heartbeat", instance=self.instance, method=method,
                          state=body.get("state"), seqNum=body.get("seqNum"), status=status)
        return 200 <= status < 300

    async def _send_beats(self):
        while True:
            await self.send("PUT", self.next_beat())
            await asyncio.sleep(1.5)


# ------------------------------------------------------------------------------------ deployment


class Machine:
    def __init__(self, deployment, name, zone, service, number):
        self.deployment = deployment
        self.name = name
        self.zone = zone
        self.service = service
        self.ip = f"127.{deployment.net}.1.{number}"
        self.ports = deployment.ports
        self.store_ip = f"127.{deployment.net}.2.{number}"
        self.server = None
        self.process = None
        self.started_at = 0.0

    @property
    def store_door(self):
        return self.store_ip, self.ports["store"]

    def fields(self):
        listen = {"inbound": self.ports["inbound"], "outbound": self.ports["outbound"],
                  "ready": self.ports["ready"], "control": self.ports["control"]}
        return {
            "nodeName": self.name, "zone": self.zone, "service": self.service, "ip": self.ip,
            "listen": {key: f"{self.ip}:{port}" for key, port in listen.items()},
            "portRange": [self.ports["peers"], self.ports["operators"]],
            "platform": {"address": f"{self.store_ip}:{self.ports['store']}"},
            "zones": {zone: "lagos" for zone in self.deployment.zones},
            "bounds": {"budgetWindowS": 10, "retryBudgetSlack": 56},
        }

    def write_settings(self):
        text = render((ROOT / "deploy/node.json.template").read_text(), self.fields())
        path = self.deployment.folder / f"{self.name}.json"
        path.write_text(text)
        return path

    def start(self):
        path = self.write_settings()
        words = shlex.split(self.deployment.command)
        arguments = [str(ROOT / words[0])]
        arguments += [str(path) if word == "/etc/boragetrack/node.conf" else word
                      for word in words[1:]]
        if not os.access(arguments[0], os.X_OK):
            raise CannotRun(f"{words[0]} is not built")
        with open(self.deployment.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""),
                     "BORAGETRACK_NODE_FILE": str(path)})
        STARTED.append(self.process)
        self.started_at = time.monotonic()
        self.deployment.record.write("start", node=self.name, pid=self.process.pid)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.deployment.record.write("signal", node=self.name, signal=int(number))
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    async def is_ready(self):
        try:
            status, _, _ = await call_http(self.ip, self.ports["ready"], "GET", "/api/readiness",
                                           {"Host": "ready"}, timeout=1.0)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


def render(template, fields):
    """Fills in a template as the pages on deployment say."""

    def lookup(name, scopes):
        for scope in scopes:
            value = scope
            for part in name.split("."):
                if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                elif isinstance(value, dict) and part in value:
                    value = value[part]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def section(match):
        value = lookup(match.group(1), [fields])
        text = ""
        for number, entry in enumerate(value or {}):
            comma = "," if number + 1 < len(value) else ""
            text += match.group(2).replace("{{@}}", str(entry)).replace("{{,}}", comma)
        return text

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(lookup(m.group(1), [fields]) or ""), text)


def rule(name, prefix, service, kind="safe", timeout_s=1.5, attempts=2, priority=1, split=None):
    action = {"timeoutS": timeout_s, "maxAttempts": attempts}
    if split:
        action["weightedSplit"] = [{"service": s, "weight": w} for s, w in split]
    else:
        action["service"] = service
    return {"name": name, "kind": kind, "targetLatencyS": 0.5, "priority": priority,
            "match": {"prefix": prefix}, "action": action}


def configuration(version, rules, services):
    clusters = [{"name": service, "healthPath": "/health", "maxConns": 110, "coldStartS": 3.0,
                 "coldPerS": 13.0} for service in services]
    return {"version": f"r{version}",
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3,
                       "idleTimeoutS": 15},
            "listeners": [{"host": "shop.example", "ruleSet": rules}], "clusters": clusters}


class Deployment:
    """A store and machines, each with a node (a process of the project) and a server."""

    SERVICES = ["catalogue", "payments", "allocation"]

    def __init__(self, record, zones, services, spares=0):
        self.record = record
        self.zones = zones
        self.services = services
        self.folder = Path(tempfile.mkdtemp(prefix="boragetrack-review-"))
        FOLDERS.append(self.folder)
        text = (ROOT / "deploy/system.toml").read_text()
        self.command = re.search(r'^run\s*=\s*"([^"]+)"', text, re.M).group(1)
        self.net, self.ports = self._free_ports(len(zones) * len(services) + spares)
        self.store = Store(record)
        self.machines = []
        for zone in zones:
            for service in services:
                self.machines.append(Machine(self, f"sidecar-{zone}-{service}", zone, service,
                                             len(self.machines) + 1))
        self._attempts = 0

    async def add_machine(self, zone, service, version, **options):
        """Adds a machine with its node and its server, as a spare machine that joins."""
        number = len(self.machines) + 1
        machine = Machine(self, f"sidecar-{zone}-{service}-{version}", zone, service, number)
        self.machines.append(machine)
        await self.store.listen(*machine.store_door)
        machine.start()
        machine.server = AppServer(machine, self.record, version=version, **options)
        await machine.server.start()
        return machine

    @staticmethod
    def _free_ports(count):
        names = ["inbound", "app", "ready", "outbound", "control", "peers", "operators", "store"]
        for attempt in range(200):
            net = 40 + (os.getpid() + attempt) % 180
            base = 21000 + (os.getpid() * 16 + attempt * 16) % 9000
            ports = {name: base + number for number, name in enumerate(names)}
            sockets = []
            try:
                for number in range(1, count + 1):
                    for part in (1, 2):
                        for port in list(ports.values()) + [9464]:
                            probe = socket.socket()
                            sockets.append(probe)
                            probe.bind((f"127.{net}.{part}.{number}", port))
                return net, ports
            except OSError:
                continue
            finally:
                for probe in sockets:
                    probe.close()
        raise CannotRun("no free ports")

    def machine(self, zone, service):
        return next(m for m in self.machines if m.zone == zone and m.service == service)

    async def start(self, first_configuration, servers=True):
        for machine in self.machines:
            await self.store.listen(*machine.store_door)
        self.store.put("op/config", first_configuration)
        for machine in self.machines:
            machine.start()
        if servers:
            for machine in self.machines:
                machine.server = AppServer(machine, self.record)
                await machine.server.start()

    async def wait_until(self, condition, what, timeout=20.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"not within {timeout} s: {what}; logs in {self.folder}")

    async def wait_until_ready(self):
        for machine in self.machines:
            await self.wait_until(machine.is_ready, f"{machine.name} is ready")

    async def request(self, machine, method, path, body=b"", budget_ms=1200, kind="client"):
        """Sends a client's request to the node of a machine. Returns (attempt id, sent at, status,
        headers, body); the status is 0 without an answer."""
        self._attempts += 1
        attempt = f"{os.getpid():08x}{self._attempts:08x}"
        sent = time.monotonic()
        self.record.write("sent", attempt=attempt, node=machine.name, method=method, path=path)
        try:
            status, headers, answer = await call_http(
                machine.ip, machine.ports["outbound"], method, path,
                {"Host": "shop.example", ATTEMPT: attempt, BUDGET: str(budget_ms)}, body,
                timeout=budget_ms / 1000 + 0.5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            self.record.write("unanswered", attempt=attempt, reason=type(error).__name__)
            return attempt, sent, 0, {}, b""
        self.record.write("answered", attempt=attempt, status=status,
                          stamp=headers.get(STAMP.lower()))
        return attempt, sent, status, headers, answer

    async def stop(self):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.kill()
            if machine.server:
                await machine.server.stop()
        await self.store.stop()


def main(case, folder):
    """Runs a case: an async function of (record, whether to disturb). Exits with 3 if it returns a
    text, which says how the rule was broken, with 0 if the rule held, with 2 if the case couldn't
    run. Python itself exits with 1 after an error, so run.sh translates the status."""
    def end(status):
        for process in STARTED:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait()
        record.close()
        for folder in FOLDERS if status != 2 else []:
            shutil.rmtree(folder, ignore_errors=True)
        os._exit(status)

    signal.signal(signal.SIGTERM, lambda *_: end(2))
    record = Record(Path(folder) / "record.txt")
    disturb = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, disturb), 115))
    except Exception as error:  # any error means that the case couldn't run
        record.write("result", cannot_run=str(error) or type(error).__name__)
        print(f"cannot run: {type(error).__name__} {error}", flush=True)
        end(2)
    record.write("result", broken=broken or "no")
    print(f"rule broken: {broken}" if broken else "rule held", flush=True)
    end(3 if broken else 0)
