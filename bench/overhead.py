"""Measures what two nodes add to a call: the same calls direct and through, side by side."""

from collections import Counter

from deployments import LAGOS
from fleet import Fleet
from load import Load, check_outcomes, percentile


def latency_ms(calls, share):
    """Returns a percentile of the latency of served calls, in milliseconds."""
    return percentile([call.latency_us for call in calls if call.outcome == "ok"], share) / 1000


def run(options):
    """Runs the measurement and returns its figures."""
    with Fleet() as fleet:
        fleet.deploy(LAGOS, {"cold-ms": 0, "service-us": 1000})
        fleet.wait_for_members()
        fleet.apply(LAGOS.intent())
        fleet.wait_for_upstreams()
        serving_nodes = [node for node in fleet.nodes if node.upstream.service == "payments"]
        entry_nodes = [node for node in fleet.nodes if node.upstream.service != "payments"]
        mix = {"read": ["/payments/slips"], "post": ["/payments/deposits"], "post_percent": 30}
        shared = {"rate": options.rate, "seconds": options.seconds, "connections": 8, **mix}
        # A short load first, so that no side pays for the first connections.
        Load(fleet, [node.caller_port for node in entry_nodes], "w", **{**shared, "seconds": 2}).calls()
        through = Load(fleet, [node.caller_port for node in entry_nodes], "t", **shared)
        direct = Load(fleet, [node.upstream.port for node in serving_nodes], "d", **shared)
        through_calls, direct_calls = through.calls(), direct.calls()
        upstreams = [node.upstream for node in fleet.nodes]
        counts = check_outcomes(through_calls, upstreams)
        reads = {
            "through": [call for call in through_calls if call.method == "GET"],
            "direct": [call for call in direct_calls if call.method == "GET"],
        }
        posts = {
            "through": [call for call in through_calls if call.method == "POST"],
            "direct": [call for call in direct_calls if call.method == "POST"],
        }
        return {
            "calls": len(through_calls) + len(direct_calls),
            "direct_p99_ms": latency_ms(direct_calls, 0.99),
            "through_p99_ms": latency_ms(through_calls, 0.99),
            "added_p50_ms": round(
                latency_ms(through_calls, 0.5) - latency_ms(direct_calls, 0.5), 3
            ),
            "added_p99_ms": round(
                latency_ms(through_calls, 0.99) - latency_ms(direct_calls, 0.99), 3
            ),
            "added_p99_ms_reads": round(
                latency_ms(reads["through"], 0.99) - latency_ms(reads["direct"], 0.99), 3
            ),
            "added_p99_ms_keyed_posts": round(
                latency_ms(posts["through"], 0.99) - latency_ms(posts["direct"], 0.99), 3
            ),
            "calls_per_second": options.rate * 2,
            "outcomes": dict(Counter(call.outcome for call in through_calls)),
            "wrong_answers": counts["wrong_answers"],
            "lost": counts["lost"],
            "doubled": counts["doubled"],
        }


def add_options(parser):
    """Adds this measurement's options."""
    parser.add_argument("--rate", type=float, default=300.0, help="calls a second on each side")
    parser.add_argument("--seconds", type=float, default=15.0)
