"""Measures availability while a data centre is taken out and back, and while one is killed."""

import time
from collections import Counter

from deployments import LATEXLEKH
from fleet import Fleet
from load import Load, check_outcomes, percentile, served_by_second

LATE_MS = 1000.0


def run_load(fleet, options, prefix, seconds):
    """Starts a constant load of reads and keyed POSTs through all nodes."""
    return Load(
        fleet,
        [node.caller_port for node in fleet.nodes],
        prefix,
        rate=options.rate,
        seconds=seconds,
        connections=24,
        read=["/ledger/day"],
        post=["/payouts/payment", "/purchases/sale"],
        post_percent=50,
    )


def summarize(calls, upstreams, skip_seconds=0):
    """Returns the metrics of a load; the worst second is taken after the first skip_seconds."""
    counts = check_outcomes(calls, upstreams)
    seconds = served_by_second(calls)
    return {
        **counts,
        "served_percent": round(100.0 * counts["ok"] / max(1, counts["calls"]), 4),
        "served_percent_worst_second": round(
            min((share for _, share in seconds[skip_seconds:]), default=0.0), 2
        ),
        "late": sum(1 for call in calls if call.latency_us > LATE_MS * 1000),
        "p99_ms": percentile([call.latency_us for call in calls], 0.99) / 1000,
    }


def last_run_ms(nodes):
    """Returns the wall time in ms of the last run on any of the nodes' upstreams, or 0."""
    return max((run[0] for node in nodes for run in node.upstream.runs()), default=0)


def measure_planned_departure(fleet, options):
    """Takes a data centre out of service and back under load, by operator commands."""
    load = run_load(fleet, options, "o", options.seconds)
    time.sleep(options.seconds * 0.2)
    name = LATEXLEKH.data_centres[0]
    code_out, _ = fleet.command("datacentre", "out", name, "--reason", "works on the feeder",
                                "--wait")
    out_at = time.time() * 1000
    time.sleep(options.seconds * 0.35)
    last_run = last_run_ms(fleet.nodes_in_data_centre(name))
    code_back, _ = fleet.command("datacentre", "back", name, "--reason", "works are over",
                                 "--wait")
    back_at = time.time() * 1000
    calls = load.calls()
    return_runs = [
        run[0]
        for node in fleet.nodes_in_data_centre(name)
        for run in node.upstream.runs()
        if run[0] > back_at
    ]
    figures = summarize(calls, [node.upstream for node in fleet.nodes])
    figures["new_work_after_out_s"] = round(max(0.0, last_run - out_at) / 1000, 3)
    figures["recovered_s"] = round((min(return_runs) - back_at) / 1000, 3) if return_runs else None
    figures["exit_codes"] = [code_out, code_back]
    return figures


def measure_data_centre_loss(fleet, options):
    """Kills and restarts all nodes and upstreams of a data centre under load."""
    load = run_load(fleet, options, "k", options.seconds)
    time.sleep(options.seconds * 0.2)
    lost = fleet.nodes_in_data_centre(LATEXLEKH.data_centres[1])
    killed_at = time.time() * 1000
    for node in lost:
        node.process.kill()
        node.upstream.process.kill()
    time.sleep(options.seconds * 0.35)
    for node in lost:
        node.start()
        node.upstream.process.start()
    started_at = time.time() * 1000
    # Callers of the killed nodes now use other nodes; these show when the restarted nodes serve.
    returning = Load(fleet, [node.caller_port for node in lost], "r", rate=50, seconds=4,
                     connections=4, read=["/ledger/day"], tries=1)
    calls = load.calls()
    served_at = [call.at_ms for call in returning.calls() if call.outcome == "ok"]
    figures = summarize(calls, [node.upstream for node in fleet.nodes])
    shares_after_3_s = [
        share
        for second, share in served_by_second(calls)
        if second * 1000 >= killed_at + 3000
    ]
    figures["served_percent_worst_second_after_third"] = round(
        min(shares_after_3_s, default=0.0), 2
    )
    figures["recovered_s"] = round((min(served_at) - started_at) / 1000, 3) if served_at else None
    figures["outcomes_by_method"] = {
        f"{method} {outcome}": count
        for (method, outcome), count in Counter(
            (call.method, call.outcome) for call in calls
        ).items()
    }
    return figures


def run_once(options, baseline, first_port):
    """Runs the planned departure and the loss, with standard or baseline policies."""
    experiment = {"baselinePolicies": True} if baseline else {}
    with Fleet(first_port) as fleet:
        fleet.deploy(LATEXLEKH, {"slots": 12, "service-us": 3000}, **experiment)
        fleet.wait_for_members()
        fleet.apply(LATEXLEKH.intent())
        fleet.wait_for_upstreams()
        Load(fleet, [n.caller_port for n in fleet.nodes], "w", rate=options.rate, seconds=3,
             connections=24, read=["/ledger/day", "/payouts/x", "/purchases/x"]).calls()
        out = measure_planned_departure(fleet, options)
        lost = measure_data_centre_loss(fleet, options)
    return out, lost


def run(options):
    """Runs the measurement, and with --baseline also with the baseline policies."""
    out, lost = run_once(options, False, 11000)
    result = {**out, **{f"killed_{name}": value for name, value in lost.items()}}
    if options.baseline:
        base_out, base_lost = run_once(options, True, 13000)
        for name in ("served_percent", "served_percent_worst_second", "p99_ms"):
            result[f"baseline_{name}"] = base_out[name]
            result[f"baseline_killed_{name}"] = base_lost[name]
    return result


def add_options(parser):
    """Adds the command-line options of this measurement."""
    parser.add_argument("--rate", type=float, default=300.0)
    parser.add_argument("--seconds", type=float, default=14.0, help="seconds for each part")
    parser.add_argument("--baseline", action="store_true")
