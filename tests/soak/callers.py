"""Callers that keep their connections open until the node closes them."""

import http.client
import random
import threading
import time

from outcome import UNKNOWN, Outcome
from platform_fleet import ReceivedResponse
from upstream import ATTEMPT

BUDGET_MS = 1500


class Caller:
    """A caller on a separate thread, which sends requests to one node one after the other."""

    def __init__(self, soak, node, seed):
        self.soak = soak
        self.node = node
        self._random = random.Random(seed)
        self._connection = None
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def join(self):
        self._thread.join()

    def _run(self):
        while not self.soak.finished.is_set():
            service = self._random.choice(("items", "orders"))
            method = "GET" if service == "items" else "POST"
            self.send(method, f"/{service}/{self._random.randrange(1000)}")
            time.sleep(self._random.uniform(0.0, 0.03))

    def send(self, method, target):
        attempt = self.soak.fleet.next_attempt()
        sent_at = time.monotonic()
        try:
            if self._connection is None:
                self._connection = http.client.HTTPConnection(
                    "127.0.0.1", self.node.caller_port, timeout=4)
            self._connection.request(method, target, b"x" if method == "POST" else None, {
                "Host": "shop.example", ATTEMPT: attempt,
                "X-Boragetrack-Time-Budget-Ms": str(BUDGET_MS)})
            response = self._connection.getresponse()
            received = ReceivedResponse(response.status, dict(response.getheaders()),
                                        response.read())
        except (OSError, http.client.HTTPException):
            # Killed, suspended and stopping nodes may leave a request without a response.
            self._close()
            return
        self.soak.guarantees.record_response(attempt, method, target, received)
        if received.status in UNKNOWN:
            self.soak.guarantees.record_unknown(Outcome(
                self.node, attempt, target, sent_at, BUDGET_MS / 1000, received.status))
        if response.getheader("Connection") == "close":
            self._close()

    def _close(self):
        if self._connection is not None:
            self._connection.close()
        self._connection = None
