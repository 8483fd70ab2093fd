"""Measures goodput at 1x and 2x the capacity, and overload of upstreams that are still cold."""

from deployments import Deployment, Service
from fleet import Fleet
from load import Load, check_outcomes, percentile

SLOTS = 10
SERVICE_US = 20000
SERVERS = 4

OVERLOADED = Deployment(
    "overload",
    "lagos",
    ("ikeja", "lekki"),
    (Service("payments", SERVERS, (("slips", "/payments/slips"),)),),
)


def run_once(options, baseline, first_port):
    """Runs the loads of 1x and 2x, with standard or baseline policies."""
    experiment = {"baselinePolicies": True} if baseline else {}
    # The concurrency limit is above the slots that upstreams announce. Nodes apply the lower of
    # both: the baseline as a fixed limit, the standard policies as the maximum of an adaptive one.
    defaults = {"callTimeoutMs": 500, "concurrencyLimit": 100, "queueLimit": 40}
    capacity = SERVERS * SLOTS * 1_000_000 / SERVICE_US * options.share
    with Fleet(first_port) as fleet:
        fleet.deploy(
            OVERLOADED,
            {"slots": SLOTS, "service-us": SERVICE_US, "cold-ms": 1500, "queue": 60},
            **experiment,
        )
        fleet.wait_for_members()
        fleet.apply(OVERLOADED.intent(defaults))
        fleet.wait_for_upstreams()
        ports = [node.caller_port for node in fleet.nodes]
        shared = {"read": ["/payments/slips"], "timeout_ms": 2000, "tries": 1}
        Load(fleet, ports, "w", rate=capacity / 4, seconds=4, connections=64, **shared).calls()
        figures = {}
        for name, factor in (("1x", 1.0), ("2x", 2.0)):
            calls = Load(fleet, ports, f"f{name}", rate=capacity * factor,
                         seconds=options.seconds, connections=400, **shared).calls()
            good = [call for call in calls if call.outcome == "ok" and call.latency_us < 500_000]
            figures[f"goodput_{name}"] = round(len(good) / options.seconds, 1)
            figures[f"offered_{name}"] = round(len(calls) / options.seconds, 1)
            figures[f"p99_ms_{name}"] = percentile([call.latency_us for call in good], 0.99) / 1000
            counts = check_outcomes(calls, [node.upstream for node in fleet.nodes])
            figures[f"wrong_answers_{name}"] = counts["wrong_answers"]
        upstreams = [node.upstream for node in fleet.nodes]
        figures["cold_overrun"] = sum(
            1 for upstream in upstreams for run in upstream.runs() if run[4]
        )
        return figures


def run(options):
    """Runs the measurement, and the baseline unless --no-baseline is given."""
    result = run_once(options, False, 11000)
    if options.baseline:
        baseline = run_once(options, True, 13000)
        result.update({f"baseline_{name}": value for name, value in baseline.items()})
    return result


def add_options(parser):
    """Adds the command-line options of this measurement."""
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--share", type=float, default=0.9,
                        help="1x as a share of the upstreams' nominal capacity")
    parser.add_argument("--no-baseline", dest="baseline", action="store_false")
