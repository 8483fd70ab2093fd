"""Collects what callers and upstreams saw and checks the promises against it."""

import threading
from collections import Counter

# Statuses that promise that the request has not run and will not run.
NOT_RUN = {408, 421, 429, 503}
# An upstream that leaves gets no new work after this time.
DRAIN_SECONDS = 2.0


class Promises:
    """Takes observations from any thread; broken promises are lines of text."""

    def __init__(self):
        self._lock = threading.Lock()
        self.broken = []
        self.statuses = Counter()
        self._answers = {}
        self._newest = {}
        self._drained = []

    def fail(self, text):
        with self._lock:
            self.broken.append(text)

    def answered(self, attempt, method, target, reply):
        """Takes one answer: it must belong to its own request and be whole."""
        with self._lock:
            self.statuses[reply.status] += 1
            self._answers[attempt] = (method, reply.status)
        if reply.status == 200 and f" ran {method} {target} ".encode() not in reply.body:
            self.fail(f"{attempt}: the answer to another request: {reply.body[:80]!r}")
        if reply.status == 200 and not reply.stamp:
            self.fail(f"{attempt}: a success that no upstream made")

    def saw_version(self, node, incarnation, number):
        """Takes the newest configuration whose effect one process of a node has shown."""
        with self._lock:
            key = (node, incarnation)
            self._newest[key] = max(self._newest.get(key, 0), number)

    def newest_version(self, node, incarnation):
        with self._lock:
            return self._newest.get((node, incarnation), 0)

    def drained(self, upstream, acknowledged_at):
        self._drained.append((upstream, acknowledged_at))

    def check_end(self, upstreams):
        """Checks what only shows at the end: how often each request ran, and where."""
        runs = Counter()
        for upstream in upstreams:
            for _, attempt, request in upstream.runs:
                if request.method != "GET":
                    runs[attempt] += 1
        for attempt, count in runs.items():
            if count > 1:
                self.fail(f"{attempt}: ran {count} times")
            if self._answers.get(attempt, ("", 0))[1] in NOT_RUN:
                self.fail(f"{attempt}: told as not run, and ran")
        for upstream, acknowledged_at in self._drained:
            late = [at for at, _, _ in upstream.runs if at > acknowledged_at + DRAIN_SECONDS]
            if late:
                self.fail(f"{upstream.instance}: {len(late)} requests after it had left")
