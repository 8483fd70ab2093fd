"""A caller that uses its connection to a node until the node closes it."""

import http.client
import random
import threading
import time

from outcome import Outcome
from upstream import ATTEMPT


class OpenCaller:
    """Sends requests to one node one after the other, on a separate thread.

    The target's last part is the time (ms) for which the upstream works on the request. Budgets,
    service times and pauses between two requests are ranges in s.
    """

    def __init__(self, fleet, node, seed, budgets, service_times, pauses):
        self.outcomes = []
        self._fleet = fleet
        self._node = node
        self._random = random.Random(seed)
        self._budgets = budgets
        self._service_times = service_times
        self._pauses = pauses
        self._connection = None
        self._finished = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def finish(self):
        """Asks the caller to end after its present request."""
        self._finished.set()

    def join(self):
        self._thread.join()

    def _run(self):
        while not self._finished.is_set():
            method, service = self._random.choice((("GET", "items"), ("POST", "orders")))
            service_time = self._random.uniform(*self._service_times)
            self.outcomes.append(self._send(method, f"/{service}/{service_time * 1000:.0f}",
                                            round(self._random.uniform(*self._budgets), 3)))
            # A node that is gone accepts no connection.
            pause = 0.05 if self.outcomes[-1].status is None else 0.0
            time.sleep(pause + self._random.uniform(*self._pauses))
        self._close()

    def _send(self, method, target, budget):
        attempt = self._fleet.next_attempt()
        sent_at = time.monotonic()
        try:
            if self._connection is None:
                self._connection = http.client.HTTPConnection("127.0.0.1", self._node.caller_port,
                                                              timeout=budget + 3.0)
            self._connection.request(method, target, b"x" if method == "POST" else None, {
                "Host": "shop.example", ATTEMPT: attempt,
                "X-Boragetrack-Time-Budget-Ms": f"{budget * 1000:.0f}"})
            response = self._connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException) as error:
            self._close()
            return Outcome(self._node, attempt, target, sent_at, budget, None, repr(error))
        if response.getheader("Connection") == "close":
            self._close()
        return Outcome(self._node, attempt, target, sent_at, budget, response.status)

    def _close(self):
        if self._connection is not None:
            self._connection.close()
        self._connection = None
