"""Collects what callers and upstreams saw and checks the promises against it."""

import threading
from collections import Counter

# Statuses that promise that the request has not run and will not run.
NOT_RUN = {408, 421, 429, 503}
# An upstream that leaves gets no new work after this time.
DRAIN_SECONDS = 2.0


class GuaranteeChecker:
    """Takes observations from any thread; broken promises are lines of text."""

    def __init__(self):
        self._lock = threading.Lock()
        self.violations = []
        self.statuses = Counter()
        self._responses = {}
        self._newest_versions = {}
        self._drained = []

    def record_violation(self, text):
        with self._lock:
            self.violations.append(text)

    def record_response(self, attempt, method, target, response):
        """Takes one answer: it must belong to its own request and be whole."""
        with self._lock:
            self.statuses[response.status] += 1
            self._responses[attempt] = (method, response.status)
        if response.status == 200 and f" ran {method} {target} ".encode() not in response.body:
            self.record_violation(f"{attempt}: the answer to another request: {response.body[:80]!r}")
        if response.status == 200 and not response.stamp:
            self.record_violation(f"{attempt}: a success that no upstream made")

    def record_version(self, node, incarnation, number):
        """Takes the newest configuration whose effect one process of a node has shown."""
        with self._lock:
            key = (node, incarnation)
            self._newest_versions[key] = max(self._newest_versions.get(key, 0), number)

    def newest_version(self, node, incarnation):
        with self._lock:
            return self._newest_versions.get((node, incarnation), 0)

    def record_drain(self, upstream, acknowledged_at):
        self._drained.append((upstream, acknowledged_at))

    def check_runs(self, upstreams):
        """Checks what only shows at the end: how often each request ran, and where."""
        runs = Counter()
        for upstream in upstreams:
            for _, attempt, request in upstream.runs:
                if request.method != "GET":
                    runs[attempt] += 1
        for attempt, count in runs.items():
            if count > 1:
                self.record_violation(f"{attempt}: ran {count} times")
            if self._responses.get(attempt, ("", 0))[1] in NOT_RUN:
                self.record_violation(f"{attempt}: told as not run, and ran")
        for upstream, acknowledged_at in self._drained:
            late = [at for at, _, _ in upstream.runs if at > acknowledged_at + DRAIN_SECONDS]
            if late:
                self.record_violation(f"{upstream.instance}: {len(late)} requests after it had left")
