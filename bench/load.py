"""Runs the load generator and judges calls against the upstreams' journals."""

import subprocess
import time
from collections import Counter
from dataclasses import dataclass

from fleet import BUILD


@dataclass(frozen=True)
class Call:
    """One call as its caller saw it."""

    at_ms: int
    latency_us: int
    method: str
    target: str
    id: str
    outcome: str
    tries: int
    version: str


class Load:
    """A load generator that runs beside the experiment."""

    def __init__(self, fleet, ports, prefix="c", **options):
        self.log = fleet.folder / f"load-{prefix}-{time.monotonic_ns()}.csv"
        arguments = [BUILD / "standin-load", "--log", self.log, "--id-prefix", prefix]
        arguments += ["--target", *ports]
        for name, value in options.items():
            values = value if isinstance(value, (list, tuple)) else [value]
            arguments += [f"--{name.replace('_', '-')}", *values]
        self._child = subprocess.Popen([str(argument) for argument in arguments])

    def calls(self):
        """Waits for the end and returns all calls."""
        self._child.wait()
        calls = []
        for line in self.log.read_text().splitlines():
            at, latency, method, target, name, outcome, tries, version = line.split(",")
            calls.append(
                Call(int(at), int(latency), method, target, name, outcome, int(tries), version)
            )
        return sorted(calls, key=lambda call: call.at_ms)


def percentile(values, share):
    """Returns the value at a share (0 to 1) of all values; zero without any."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def check_outcomes(calls, upstreams):
    """Compares what callers were told with what upstreams ran."""
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
    """Returns (second, served share in percent) for each whole second of the load."""
    total = Counter(call.at_ms // 1000 for call in calls)
    served = Counter(call.at_ms // 1000 for call in calls if call.outcome == "ok")
    return [(second, 100.0 * served[second] / count) for second, count in sorted(total.items())]
