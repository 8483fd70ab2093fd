"""Runs the load generator and checks call outcomes against the upstreams' journals."""

import subprocess
import time
from collections import Counter
from dataclasses import dataclass

from fleet import BUILD


@dataclass(frozen=True)
class Call:
    """A call and its outcome as the caller observed it."""

    at_ms: int
    latency_us: int
    method: str
    target: str
    id: str
    outcome: str
    attempts: int
    version: str


class Load:
    """A load generator process that runs during an experiment.

    Keyword options become command-line options of standin-load.
    """

    def __init__(self, fleet, ports, prefix="c", **options):
        self.log = fleet.folder / f"load-{prefix}-{time.monotonic_ns()}.csv"
        arguments = [BUILD / "standin-load", "--log", self.log, "--id-prefix", prefix]
        arguments += ["--target", *ports]
        for name, value in options.items():
            values = value if isinstance(value, (list, tuple)) else [value]
            arguments += [f"--{name.replace('_', '-')}", *values]
        self._child = subprocess.Popen([str(argument) for argument in arguments])

    def calls(self):
        """Waits for the end of the load and returns all calls in order of their start."""
        self._child.wait()
        calls = []
        for line in self.log.read_text().splitlines():
            at, latency, method, target, name, outcome, attempts, version = line.split(",")
            calls.append(
                Call(int(at), int(latency), method, target, name, outcome, int(attempts), version)
            )
        return sorted(calls, key=lambda call: call.at_ms)


def percentile(values, share):
    """Returns the percentile at a share from 0 to 1 of the values; 0 for no values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def check_outcomes(calls, upstreams):
    """Compares outcomes that callers received with the runs recorded by upstreams.

    Returns counts by outcome, and of violations: "lost" (reported as ok without a run), "doubled"
    (run more than once) and "false_not_run" (reported as not run after a run). Only POST requests
    are compared with runs.
    """
    runs = Counter()
    for upstream in upstreams:
        for _, method, name, _, _ in upstream.runs():
            if method == "POST":
                runs[name] += 1
    posts = [call for call in calls if call.method == "POST"]
    outcomes = Counter(call.outcome for call in calls)
    return {
        "calls": len(calls),
        "ok": outcomes["ok"],
        "failed": outcomes["failed"],
        "refused_not_run": outcomes["not-run"],
        "unknown": outcomes["unknown"],
        "wrong_answers": outcomes["wrong"],
        "lost": sum(1 for call in posts if call.outcome == "ok" and runs[call.id] == 0),
        "doubled": sum(1 for call in posts if runs[call.id] > 1),
        "false_not_run": sum(
            1 for call in posts if call.outcome == "not-run" and runs[call.id] > 0
        ),
    }


def served_by_second(calls):
    """Returns (second, percentage of served calls) for each second in which calls started."""
    total = Counter(call.at_ms // 1000 for call in calls)
    served = Counter(call.at_ms // 1000 for call in calls if call.outcome == "ok")
    return [(second, 100.0 * served[second] / count) for second, count in sorted(total.items())]
