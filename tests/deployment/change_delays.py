"""Measures how long changes take until they are in force at the last node, while the store rejects
the nodes that follow it.

Usage: change_delays.py [--trials N] [--until HH:MM] [--two] [--share X] [--slices] SEED...
The last line of each seed is a JSON object.
"""

import argparse
import json
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve()
sys.path[:0] = [str(HERE.parent), str(HERE.parents[1] / "platform"), str(HERE.parents[2] / "bench")]

from change_trial import SECONDS, TIMINGS, WAYS  # noqa: E402
from change_trials import ChangeTrials  # noqa: E402
from delay_summary import summaries, summary  # noqa: E402
from deployment import Deployment  # noqa: E402
from intent_judge import IntentJudge  # noqa: E402
from processor_slices import ProcessorSlices  # noqa: E402

# Delays (s) beyond which a trial is a finding: half of the bound with one fault, three quarters of
# it with two.
FINDING_SECONDS = {False: 1.0, True: 1.5}
TEST_RATE = 3.0
SPLIT_SHARE = 0.4
# Probes have to be served in a burst, too.
PROBED_PRIORITY = 0
KEYS = ("way", "connections", "timing", "second", "is_burst", "further")


def play(seed, options):
    """Plays trials. Returns the results."""
    deployment = Deployment(seed, options.first_port, options.rate, TEST_RATE, SPLIT_SHARE,
                            PROBED_PRIORITY, True)
    seconds = options.seconds.split(",") if options.seconds else SECONDS
    trials = ChangeTrials(deployment, seed, options.ways.split(","), options.timings.split(","),
                          seconds if options.two else ())
    slices = None
    results = []
    load_before = os.getloadavg()[0]
    try:
        deployment.start()
        time.sleep(3.0)
        slices = ProcessorSlices(deployment.running_pids, options.share, seed, not options.slices)
        while len(results) < options.trials and time.time() < options.until:
            results.append(trials.run())
            print(f"  {json.dumps(results[-1])}", flush=True)
        slices.end()
        time.sleep(2.0)
        judge = IntentJudge(deployment.versions, deployment.disturbances, deployment.starts)
        outcomes = deployment.outcomes() + trials.outcomes
        judge.judge(outcomes)
        for line in judge.violations[:20]:
            print(f"  VIOLATED {line}")
        return {
            "seed": seed, "two": options.two, "share": options.share, "rate": options.rate,
            "load": [round(load_before, 1), round(os.getloadavg()[0], 1)],
            "folder": str(deployment.folder), "all": summary([r["delay"] for r in results]),
            "logged": summary([max(r["inForce"].values(), default=0.0) for r in results]),
            "loggedFirst": summary([min(r["inForce"].values(), default=0.0) for r in results]),
            "firstToLast": summary([max(r["inForce"].values()) - min(r["inForce"].values())
                                    for r in results if r["inForce"]]),
            "by": {key: summaries(results, key) for key in KEYS},
            "findings": sum(r["delay"] > FINDING_SECONDS[options.two] for r in results),
            "requests": len(outcomes), "judged": judge.judged, "wrong": len(judge.violations),
            "lateByNode": dict(judge.late_by_node),
            "suspended": round(slices.suspended_seconds / max(slices.seconds, 0.001), 3),
            "largestUse": round(slices.largest_use, 3), "slices": options.slices,
            "latestSend": max((r["latestSend"] for r in results), default=0.0),
        }
    finally:
        if slices:
            slices.end()
        trials.end()
        deployment.stop()


def main():
    """Plays seeds. Returns 1 when a request broke the bounds for a change."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seeds", nargs="+", type=int)
    parser.add_argument("--trials", type=int, default=20)
    parser.add_argument("--until", default="", help="begin no trial after this time of day (UTC)")
    parser.add_argument("--two", action="store_true", help="a second fault in each trial")
    parser.add_argument("--share", type=float, default=0.2, help="share of a core for each node")
    parser.add_argument("--slices", action="store_true",
                        help="suspend all nodes for the rest of each period, not by their use")
    parser.add_argument("--rate", type=float, default=49.0, help="requests a second and node")
    parser.add_argument("--ways", default=",".join(WAYS))
    parser.add_argument("--timings", default=",".join(TIMINGS))
    parser.add_argument("--seconds", default="", help="the second faults to draw from")
    parser.add_argument("--first-port", type=int, default=21000)
    options = parser.parse_args()
    midnight = time.time() // 86400 * 86400
    hours, _, minutes = options.until.partition(":")
    options.until = (midnight + int(hours) * 3600 + int(minutes) * 60 if options.until
                     else float("inf"))
    wrong = 0
    for seed in options.seeds:
        if time.time() >= options.until:
            break
        print(f"seed {seed}", flush=True)
        results = play(seed, options)
        wrong += results["wrong"]
        print(json.dumps(results), flush=True)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
