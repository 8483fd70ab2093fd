"""A stand-in for a server of the platform: it runs requests and announces itself to its node."""

import asyncio
import json
import time

from asyncserver import Response, AsyncServer
from run_record import RunRecord

STAMP = "X-Boragetrack-Response-Stamp"
ATTEMPT = "X-Boragetrack-Attempt-Id"
INSTANCE = "X-Boragetrack-Instance-Id"
EXPECTED = "X-Boragetrack-Target-Instance"
NOT_RUN = "X-Boragetrack-Not-Executed"
# The status of a server that is not the expected one; like NOT_RUN, it states that nothing ran.
MISDIRECTED = 421


class Upstream(AsyncServer):
    """A server whose behaviour can be changed while it runs.

    Service time and cold period are in seconds.
    """

    def __init__(self, event_loop, port, control_port, service, version="v1", instance=None,
                 receive_buffer=None):
        super().__init__(event_loop, port, receive_buffer)
        self.control_port = control_port
        self.service = service
        self.version = version
        self.instance = instance or f"i-{port}"
        self.started_at_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.cold_seconds_left = 0.0
        self.slots = 8
        self.service_time = 0.005
        # Returns the service time of one request.
        self.service_time_of = lambda request: self.service_time
        self.runs = []
        # A RunRecord for each of the runs.
        self.records = []
        self.cancelled = []
        # Returns a response that replaces the usual one, or None.
        self.override_response = lambda request: None
        self.acknowledged_heartbeats = 0

    async def handle(self, request):
        expected = request.header(EXPECTED)
        if expected and expected != self.instance:
            return Response(MISDIRECTED, b"", {INSTANCE: self.instance})
        if request.path == "/health":
            status = 200 if self.state == "ready" else 503
            return Response(status, b"", {INSTANCE: self.instance})
        replacement = self.override_response(request)
        if replacement is not None and (replacement.headers.get(NOT_RUN)
                                        or replacement.status == MISDIRECTED):
            return replacement
        record = self.record_run(request)
        try:
            await asyncio.sleep(self.service_time_of(request))
        except asyncio.CancelledError:
            record.cancelled_at = time.monotonic()
            self.cancelled.append(record.attempt)
            raise
        record.finished_at = time.monotonic()
        return replacement or self.success_response(request)

    def record_run(self, request):
        """Records that a request runs from now on. Returns its record."""
        record = RunRecord(request.header(ATTEMPT), time.monotonic())
        self.records.append(record)
        self.runs.append((record.started_at, record.attempt, request))
        return record

    def success_response(self, request):
        body = f"{self.instance} ran {request.method} {request.target} ".encode() + request.body
        return Response(200, body, {ATTEMPT: request.header(ATTEMPT), STAMP: f"s.{self.instance}"})

    # ------------------------------------------------------------------ announcing

    def next_announcement(self):
        self.sequence += 1
        return {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "z",
            "version": self.version, "slots": self.slots, "state": self.state,
            "coldLeftS": self.cold_seconds_left, "seqNum": self.sequence,
            "born": self.started_at_ms,
        }

    async def send_announcement(self, method, body):
        """Sends an announcement. Returns the status, or None without a response."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.control_port)
            text = json.dumps(body).encode()
            head = f"{method} /api/instances/{self.instance} HTTP/1.1\r\nHost: n\r\n"
            head += f"Content-Length: {len(text)}\r\nConnection: close\r\n\r\n"
            writer.write(head.encode() + text)
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return int(line.split()[1]) if line else None
        except (OSError, asyncio.TimeoutError, IndexError):
            return None

    async def send_heartbeats(self):
        while True:
            if await self.send_announcement("PUT", self.next_announcement()) == 200:
                self.acknowledged_heartbeats += 1
            await asyncio.sleep(0.3)

    def start(self):
        super().start()
        self._heartbeats = asyncio.run_coroutine_threadsafe(self.send_heartbeats(),
                                                            self.event_loop.loop)

    def stop(self):
        self.stop_heartbeats()
        super().stop()

    def stop_heartbeats(self):
        """Sends no more announcements by itself."""
        self._heartbeats.cancel()

    def drain(self):
        """Announces that it is draining. Returns the status of the response."""
        self.state = "draining"
        return self.event_loop.run(self.send_announcement("PUT", self.next_announcement()))

    def deregister(self):
        """Deregisters without draining first. Returns the status of the response."""
        self.stop_heartbeats()
        return self.event_loop.run(self.send_announcement("DELETE", {}))

    def attempts(self):
        return [attempt for _, attempt, _ in self.runs]
