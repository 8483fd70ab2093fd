"""Plays one condition of the store against the deployment of ten machines.

Usage: play_store.py CONDITION [--rounds N] [--seed N] [--rate N] [--tests N] [--first-port N]
"""

import argparse
import bisect
import collections
import random
import re
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve()
sys.path[:0] = [str(HERE.parent), str(HERE.parents[1] / "platform"), str(HERE.parents[2] / "bench")]

from deployment import Deployment  # noqa: E402
from deployment_site import IDLE_ROUTES, MOVABLE, SERVICES, fixed_rules  # noqa: E402
from intent_judge import REGRESS_SECONDS, IntentJudge, service_of  # noqa: E402
from overlapping_versions import OverlappingVersions  # noqa: E402
from store_conditions import StoreConditions  # noqa: E402


class DirectDeployment(Deployment):
    """Nodes call the store without a gate, so that they see its closed port."""

    store_port = "entrance"


def lags_of(deployment, outcomes):
    """Returns by version and node how late (s after the acknowledgement) the last request was
    handled as an older version says, whether the node was in touch or not."""
    versions = deployment.versions
    last = collections.defaultdict(lambda: collections.defaultdict(float))
    for outcome in outcomes:
        node, prefix, sent_at, ended_at, status, _ = outcome
        if status not in (200, 404):
            continue
        matching = versions.matching(prefix, service_of(outcome), ended_at)
        if matching and matching[-1] + 1 < len(versions.sent_at):
            late = sent_at - versions.acknowledged_at[matching[-1] + 1]
            nodes = last[matching[-1] + 1]
            nodes[node] = max(nodes[node], late)
    return last


def regressed(deployment, outcomes):
    """Returns how many requests regressed, by whether their machine was in touch."""
    known = [o for o in outcomes if o[4] in (200, 404)]
    events = sorted([(o[3], 0, o) for o in known] + [(o[2] - REGRESS_SECONDS, 1, o) for o in known],
                    key=lambda event: event[:2])
    newest = collections.defaultdict(int)  # by incarnation: the version seen by then
    counts = collections.Counter()
    for _, is_request, outcome in events:
        node, prefix, sent_at, ended_at, _, _ = outcome
        matching = deployment.versions.matching(prefix, service_of(outcome), ended_at)
        if not matching:
            continue
        incarnation = node, bisect.bisect(deployment.starts[node], sent_at)
        if not is_request:
            newest[incarnation] = max(newest[incarnation], matching[0])
        elif matching[-1] < newest[incarnation]:
            counts[deployment.disturbances.is_in_touch(node, sent_at, ended_at)] += 1
    return counts


def report(deployment):
    """Prints what was seen. Returns the violations."""
    judge = IntentJudge(deployment.versions, deployment.disturbances, deployment.starts)
    outcomes = deployment.outcomes()
    judge.judge(outcomes)
    statuses = collections.Counter(o[4] for o in outcomes)
    print(f"  {len(outcomes)} requests {dict(statuses)}, {judge.judged} judged, "
          f"{len(deployment.versions.sent_at)} versions, latest in touch {judge.latest:.2f} s")
    lags = lags_of(deployment, outcomes)
    worst = sorted(((max(nodes.values()), sum(late > 2 for late in nodes.values()),
                     sum(late > 1 for late in nodes.values()), version)
                    for version, nodes in lags.items()), reverse=True)[:8]
    print("  latest by version (s, nodes > 2 s, nodes > 1 s, version): "
          + ", ".join(f"{a:.2f}/{b}/{c}/v{v}" for a, b, c, v in worst))
    print(f"  regressed, by in touch: {dict(regressed(deployment, outcomes))}")
    if judge.violations:
        print(f"  late by node {dict(judge.late_by_node)}")
    kinds = collections.Counter(v.split(":")[0].split(" ")[0] for v in judge.violations)
    print(f"  VIOLATIONS {len(judge.violations)} {dict(kinds)}")
    codes = collections.Counter()
    for log in deployment.folder.glob("*.log"):
        codes.update(re.findall(r"\b(E\d{3})\b", log.read_text(errors="replace")))
    print(f"  log lines {dict(sorted(codes.items()))} in {deployment.folder}", flush=True)
    return judge.violations


def main():
    """Plays a condition and prints what broke. Returns 1 when something did."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("condition")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=8.0)
    parser.add_argument("--tests", type=float, default=16.0)
    parser.add_argument("--first-port", type=int, default=20000)
    options = parser.parse_args()
    print(f"{options.condition} seed {options.seed}", flush=True)
    deployment = DirectDeployment(options.seed, options.first_port, options.rate, options.tests)
    if options.condition == "routes":
        deployment.versions = OverlappingVersions(options.seed, SERVICES, fixed_rules(), MOVABLE,
                                                  IDLE_ROUTES)
    try:
        deployment.start()
        time.sleep(3.0)
        conditions = StoreConditions(deployment, random.Random(f"{options.seed}-store"))
        for _ in range(options.rounds):
            getattr(conditions, options.condition)()
        violations = report(deployment)
    finally:
        deployment.stop()
    for line in violations[:6]:
        print(f"  VIOLATED {line}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
