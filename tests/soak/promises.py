"""Checks the guarantees of calls against what callers and upstreams observed."""

import threading
from collections import Counter

# Statuses which guarantee that the request has not run and will not run.
NOT_RUN = {408, 421, 429, 503}
# A draining upstream gets no new requests after this time.
DRAIN_SECONDS = 2.0


class GuaranteeChecker:
    """Records observations from any thread; violations are lines of text."""

    def __init__(self, disturbances):
        self._disturbances = disturbances
        self._lock = threading.Lock()
        self.violations = []
        self.statuses = Counter()
        self._responses = {}
        self._newest_versions = {}
        self._drained = []
        self._unknown_outcomes = []

    def record_violation(self, text):
        with self._lock:
            self.violations.append(text)

    def record_response(self, attempt, method, target, response):
        """Records a response and checks that it is whole and belongs to its request."""
        with self._lock:
            self.statuses[response.status] += 1
            self._responses[attempt] = (method, response.status)
        if response.status == 200 and f" ran {method} {target} ".encode() not in response.body:
            self.record_violation(
                f"{attempt}: response to another request: {response.body[:80]!r}")
        if response.status == 200 and not response.stamp:
            self.record_violation(f"{attempt}: success without an upstream's stamp")

    def record_unknown(self, outcome):
        """Records a response which leaves open whether the request ran."""
        with self._lock:
            self._unknown_outcomes.append(outcome)

    def record_version(self, node, incarnation, number):
        """Records that a process of a node (its incarnation) has applied a configuration."""
        with self._lock:
            key = (node, incarnation)
            self._newest_versions[key] = max(self._newest_versions.get(key, 0), number)

    def newest_version(self, node, incarnation):
        with self._lock:
            return self._newest_versions.get((node, incarnation), 0)

    def record_drain(self, upstream, acknowledged_at):
        self._drained.append((upstream, acknowledged_at))

    def check_runs(self, upstreams):
        """Checks at the end how often each unsafe request ran, and runs on draining upstreams."""
        runs = Counter()
        for upstream in upstreams:
            for _, attempt, request in upstream.runs:
                if request.method != "GET":
                    runs[attempt] += 1
        for attempt, count in runs.items():
            if count > 1:
                self.record_violation(f"{attempt}: ran {count} times")
            if self._responses.get(attempt, ("", 0))[1] in NOT_RUN:
                self.record_violation(f"{attempt}: reported as not run, but ran")
        for upstream, acknowledged_at in self._drained:
            late = [at for at, _, _ in upstream.runs if at > acknowledged_at + DRAIN_SECONDS]
            if late:
                self.record_violation(f"{upstream.instance}: {len(late)} requests after its drain")

    def check_planned_stops(self, nodes, upstreams):
        """Checks that nodes in planned stops gave up no running request before its deadline."""
        names = {node.upstream_port: node.name for node in nodes}
        runs = {}
        for upstream in upstreams:
            for record in upstream.records:
                runs.setdefault(record.attempt, []).append((names[upstream.port], record))
        for outcome in self._unknown_outcomes:
            node = outcome.node.name
            places = {node} | {name for name, _ in runs.get(outcome.attempt, [])}
            if (outcome.attempt in runs and outcome.is_early()
                    and self._disturbances.is_stopping(node, outcome.ended_at)
                    and not self._disturbances.touched(places, outcome.sent_at,
                                                       outcome.ended_at)):
                text = "; ".join(f"{name} {record.describe(outcome.sent_at)}"
                                 for name, record in runs[outcome.attempt])
                self.record_violation(f"{outcome}; {text}")
