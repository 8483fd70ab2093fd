"""Simulates load plans with the standard, two-choices and baseline policies."""

import json
import subprocess
from pathlib import Path

from fleet import BUILD

PLANS = Path(__file__).parent / "load" / "plans"
# Counts that a plot shows for each second, and the colours of their lines.
SERIES = {"asked": "black", "inTime": "forest-green", "late": "orange", "refused": "blue",
          "failed": "red"}


def add_options(parser):
    """Adds the command-line options of this measurement."""
    parser.add_argument("--plans", nargs="*", default=[path.stem for path in PLANS.glob("*.json")])
    parser.add_argument("--seed", type=int, default=11)
    parser.add_argument("--days", type=int, default=1)
    parser.add_argument("--plot", help="PNG file; plots the first plan, a row for each policy")


def run(options):
    """Runs the plans in bench-load. Returns the results of all policy sets by plan."""
    files = [str(PLANS / f"{name}.json") for name in sorted(options.plans)]
    output = subprocess.run(
        [str(BUILD / "bench-load"), "--seed", str(options.seed), "--days", str(options.days),
         *files],
        check=True, capture_output=True, text=True,
    ).stdout
    results = json.loads(output)
    if options.plot:
        draw(results[0], options.plot)
    return {"plans": results}


def draw(result, path):
    """Plots requests by outcome for each second of the first run, one row for each policy set."""
    policies = result["policies"]
    script = [f"set terminal png size 900,{300 * len(policies)}", f"set output '{path}'",
              f"set multiplot layout {len(policies)},1 title '{result['plan']}'",
              "set xlabel 'second'", "set ylabel 'requests'", "set key outside"]
    for name, runs in policies.items():
        script.append(f"set title '{name}'")
        script.append("plot " + ", ".join(
            f"'-' using 1:2 with lines lc rgb '{color}' title '{series}'"
            for series, color in SERIES.items()))
        for series in SERIES:
            script += [f"{second['second']} {second[series]}" for second in runs[0]["seconds"]]
            script.append("e")
    subprocess.run(["gnuplot"], input="\n".join(script), text=True, check=True)
