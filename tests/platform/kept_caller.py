"""A caller that keeps one connection and pipelines requests on it, behind a slow one."""

import threading
import time

from kept_outcome import KeptOutcome
from pipelined_caller import PipelinedCaller, request_bytes


class KeptCaller:
    """Sends the same requests over and over on one connection, on a separate thread.

    Requests are pairs of a method and a path. The next ones are sent once all have been answered.
    """

    def __init__(self, fleet, node, requests):
        self.outcomes = []
        self.failures = []
        self._fleet = fleet
        self._node = node
        self._requests = requests
        self._caller = None
        self._finished = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def finish(self):
        """Asks the caller to end after its present requests."""
        self._finished.set()

    def join(self):
        self._thread.join()

    def _run(self):
        while not self._finished.is_set():
            try:
                self.outcomes += send_pipelined(self._connection(), self._fleet, self._node,
                                                self._requests)
            except OSError as error:
                self.failures.append(repr(error))
                self._close()
            # A node closes connections on purpose now and then; the next ones use a new one.
            if self.outcomes and self.outcomes[-1].is_closing:
                self._close()
        self._close()

    def _connection(self):
        if self._caller is None:
            self._caller = PipelinedCaller(self._node.caller_port)
        return self._caller

    def _close(self):
        if self._caller is not None:
            self._caller.close()
        self._caller = None


def send_pipelined(caller, fleet, node, requests):
    """Sends requests at once. Returns the outcomes of those that were answered."""
    sent_at = send_all(caller, fleet, requests)
    return read_outcomes(caller, node, requests, sent_at)


def send_all(caller, fleet, requests):
    """Sends requests at once, the posts with a body. Returns the time (monotonic)."""
    sent_at = time.monotonic()
    caller.send(*(request_bytes(path, fleet.next_attempt(), method,
                                b"x" if method == "POST" else b"")
                  for method, path in requests))
    return sent_at


def read_outcomes(caller, node, requests, sent_at):
    """Reads the responses to requests, up to one that closes the connection."""
    outcomes = []
    for _, path in requests:
        response = caller.read_response()
        if response is None:
            raise ConnectionError("the connection ended before its last response")
        outcomes.append(KeptOutcome(node, path, sent_at, time.monotonic(), response))
        if outcomes[-1].is_closing:
            break
    return outcomes
