"""Judges by which version each request was handled."""

import bisect
import collections

# The bounds (s) for a change: from its acknowledgement, and on one node after its first effect.
APPLY_SECONDS = 2.0
REGRESS_SECONDS = 0.25
# Routes that were added this long ago have to be served at least this share of the time.
ADDED_SECONDS = 4.0


class IntentJudge:
    """Finds requests that were handled as only an older version says, by machines in touch."""

    def __init__(self, versions, disturbances, starts):
        self._versions = versions
        self._disturbances = disturbances
        self._starts = starts  # by node: when its processes were started
        self.judged = 0
        self.latest = 0.0  # the latest request (s after the acknowledgement) that an old version ran
        self.violations = []
        self.late_by_node = collections.Counter()

    def judge(self, outcomes):
        """Judges outcomes (node, prefix, sent at, ended at, status, instance)."""
        known = [o for o in outcomes if o[4] in (200, 404)]
        seen = collections.defaultdict(list)  # by incarnation: (when, the version seen by then)
        for outcome in sorted(known, key=lambda o: o[3]):
            self._judge_bound(outcome)
            node, prefix, _, ended_at, _, _ = outcome
            matching = self._versions.matching(prefix, service_of(outcome), ended_at)
            if matching:
                times = seen[self._incarnation(outcome)]
                newest = max(matching[0], times[-1][1] if times else 0)
                times.append((ended_at, newest))
        for outcome in known:
            self._judge_regress(outcome, seen[self._incarnation(outcome)])

    def _incarnation(self, outcome):
        return outcome[0], bisect.bisect(self._starts[outcome[0]], outcome[2])

    def _judge_bound(self, outcome):
        node, prefix, sent_at, ended_at, status, _ = outcome
        matching = self._versions.matching(prefix, service_of(outcome), ended_at)
        if not matching:
            self.violations.append(f"no version allows {outcome}")
            return
        newest = matching[-1]
        successor = newest + 1
        if successor < len(self._versions.sent_at):
            late = sent_at - self._versions.acknowledged_at[successor]
            if self._disturbances.is_in_touch(node, sent_at, ended_at):
                self.latest = max(self.latest, late)
        if not self._disturbances.is_in_touch(node, sent_at, ended_at):
            return
        self.judged += 1
        allowed = self._versions.oldest_allowed(sent_at, APPLY_SECONDS)
        if newest < allowed:
            self.late_by_node[node] += 1
            late = sent_at - self._versions.acknowledged_at[newest + 1]
            self.violations.append(
                f"late: {node} handled {prefix} with {status} as version {newest} says, sent "
                f"{late:.2f} s after version {newest + 1} was acknowledged, at {sent_at:.2f}")

    def _judge_regress(self, outcome, times):
        node, prefix, sent_at, ended_at, status, _ = outcome
        position = bisect.bisect_left(times, (sent_at - REGRESS_SECONDS, 0))
        if not position or not self._disturbances.is_in_touch(node, sent_at, ended_at):
            return
        known = times[position - 1][1]
        matching = self._versions.matching(prefix, service_of(outcome), ended_at)
        if matching and matching[-1] < known:
            self.violations.append(
                f"regressed: {node} handled {prefix} with {status} as version {matching[-1]} says, "
                f"after version {known}, at {sent_at:.2f}")


def service_of(outcome):
    """Returns the service that ran a request, or None if no route covered it."""
    return outcome[5].split(".")[0] if outcome[4] == 200 else None
