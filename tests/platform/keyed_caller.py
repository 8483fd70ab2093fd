"""A caller that sends requests with the keys of organisations."""

import http.client
import random
import threading
import time

from upstream import ATTEMPT


class KeyedCaller:
    """Sends requests to one node one after the other, on a separate thread, until it is finished.

    Organisations are chosen by weight. Pauses between two requests are in s.
    """

    def __init__(self, fleet, node, keys, weights, seed, pause=0.02):
        self._fleet = fleet
        self._node = node
        self._keys = keys
        self._weights = weights
        self._random = random.Random(seed)
        self._pause = pause
        self._connection = None
        self._finished = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def finish(self):
        """Ends after the present request."""
        self._finished.set()
        self._thread.join()

    def _run(self):
        while not self._finished.is_set():
            organisation = self._random.choices(list(self._keys), self._weights)[0]
            method, path = self._random.choice((("GET", "/items/1"), ("POST", "/orders/1")))
            try:
                self._send(method, path, self._keys[organisation])
            except (OSError, http.client.HTTPException):
                self._close()
                time.sleep(0.05)
            time.sleep(self._pause)
        self._close()

    def _send(self, method, path, key):
        if self._connection is None:
            self._connection = http.client.HTTPConnection("127.0.0.1", self._node.caller_port,
                                                          timeout=5)
        self._connection.request(method, path, b"x" if method == "POST" else None, {
            "Host": "shop.example", ATTEMPT: self._fleet.next_attempt(),
            "Authorization": f"Bearer {key}", "X-Boragetrack-Time-Budget-Ms": "2000"})
        response = self._connection.getresponse()
        response.read()
        if response.getheader("Connection") == "close":
            self._close()

    def _close(self):
        if self._connection is not None:
            self._connection.close()
        self._connection = None
