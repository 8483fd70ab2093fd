"""Measures the propagation delay of accepted changes and the cost of control traffic for each node.

Optional faults: an outage of the platform, a lost write response, and a restart of half the nodes.
"""

import json
import re
import time
from datetime import datetime

from deployments import LAGOS
from fleet import Fleet, http
from load import percentile

IN_FORCE = re.compile(r"^(\S+) \w+ E200 intent in force revision=(\d+)")
KEY = "/v1/kv/boragetrack/intent"


class IntentWriter:
    """Writes the intent to the platform directly, to know the time of the write."""

    def __init__(self, fleet):
        self._fleet = fleet

    def write(self, timeout_ms):
        """Sets a default. Returns (revision, wall time of the write in s), or None on failure."""
        status, text = http("GET", self._fleet.platform_port, KEY)
        if status != 200:
            return None
        envelope = json.loads(text)
        version = self._version()
        envelope["revision"] += 1
        envelope["change"]["changeId"] = f"bench-{envelope['revision']}"
        envelope["document"]["defaults"]["callTimeoutMs"] = timeout_ms
        at = time.time()
        status, _ = http(
            "PUT",
            self._fleet.platform_port,
            f"{KEY}?expected={version}",
            json.dumps(envelope, sort_keys=True, separators=(",", ":")).encode(),
        )
        return (envelope["revision"], at) if status == 200 else None

    def _version(self):
        import urllib.request

        url = f"http://127.0.0.1:{self._fleet.platform_port}{KEY}"
        with urllib.request.urlopen(url) as response:
            return int(response.headers["X-Version"])


def in_force_times(node):
    """Returns (revision, wall time in s) of each intent that the node logged as in force."""
    times = []
    for line in node.process.log.read_text().splitlines():
        match = IN_FORCE.match(line)
        if match:
            at = datetime.strptime(match.group(1), "%Y-%m-%dT%H:%M:%S.%f%z")
            times.append((int(match.group(2)), at.timestamp()))
    return times


def count_reverts(nodes):
    """Returns how often any node applied an older revision after a newer one."""
    reverts = 0
    for node in nodes:
        revisions = [revision for revision, _ in in_force_times(node)]
        reverts += sum(1 for a, b in zip(revisions, revisions[1:]) if b < a)
    return reverts


def wait_for_revision(nodes, revision, timeout=30.0):
    """Waits until all nodes serve a revision or a later one; returns False after the timeout."""
    limit = time.monotonic() + timeout
    while time.monotonic() < limit:
        reports = [node.status() for node in nodes]
        if all(report and report["revision"] >= revision for report in reports):
            return True
        time.sleep(0.02)
    return False


def propagation_delays(nodes, revision, at):
    """Returns each node's delay in ms from a write until the revision or a later one is in force.

    The delay is infinite for a node that has not applied it.
    """
    delays = []
    for node in nodes:
        times = [applied_at for served, applied_at in in_force_times(node) if served >= revision]
        delays.append((min(times) - at) * 1000 if times else float("inf"))
    return delays


def start_nodes(fleet, options, experiment):
    """Starts the nodes, distributed over the data centres, and waits for full membership."""
    for number in range(options.nodes):
        name = LAGOS.data_centres[number % options.data_centres] if options.data_centres <= 4 \
            else f"dc{number % options.data_centres}"
        fleet.add_node(f"n{number:03}", name, **experiment)
    for node in fleet.nodes:
        node.start()
    fleet.wait_for_members(timeout=60.0)


def intent_for(options):
    """Returns the deployment's document with 20 further services, routes and exceptions."""
    intent = LAGOS.intent()
    if options.data_centres > 4:
        intent["dataCentres"] = [
            {"name": f"dc{i}", "region": "lagos", "out": False}
            for i in range(options.data_centres)
        ]
    for i in range(20):
        intent["services"].append({"name": f"s{i}", "version": "v1"})
        intent["routes"].append({"name": f"r{i}", "pathPrefix": f"/s{i}", "service": f"s{i}"})
        intent["exceptions"].append(
            {
                "id": f"e{i}", "scope": {"service": f"s{i}"}, "setting": "callTimeoutMs",
                "value": 900 + i, "reason": "the ledger needs longer at the month's end",
                "author": "bench", "createdAt": "2026-12-01T08:00:00Z",
            }
        )
    return intent


class ResourceUsage:
    """The traffic counters and processor time of all nodes at one time."""

    def __init__(self, nodes):
        self.at = time.monotonic()
        self.processor = sum(node.processor_seconds() for node in nodes)
        metrics = [node.metrics() for node in nodes]
        self.bytes = sum(
            counters.get("link_bytes_sent", 0) + counters.get("link_bytes_received", 0)
            for counters in metrics
        )
        self.messages = sum(counters.get("control_messages_sent", 0) for counters in metrics)


def control_cost(before, after, nodes):
    """Returns the mean cost of control traffic for each node between two samples."""
    seconds = after.at - before.at
    return {
        "control_bytes_per_node_s": round((after.bytes - before.bytes) / seconds / len(nodes)),
        "control_messages_per_node_s": round(
            (after.messages - before.messages) / seconds / len(nodes), 2
        ),
        "control_cpu_percent_per_node": round(
            100 * (after.processor - before.processor) / seconds / len(nodes), 3
        ),
        "rss_mb_per_node_max": round(max(node.resident_mb() for node in nodes), 1),
    }


def measure_changes(fleet, options):
    """Writes changes one by one. Returns the delays in ms of each change on each node."""
    writer = IntentWriter(fleet)
    delays = []
    for number in range(options.changes):
        written = writer.write(1000 + number)
        wait_for_revision(fleet.nodes, written[0])
        delays += propagation_delays(fleet.nodes, *written)
        time.sleep(options.pause)
    return delays


def run_once(options, experiment, first_port):
    """Runs the measurement with the given experiment settings in each node."""
    with Fleet(first_port) as fleet:
        start_nodes(fleet, options, experiment)
        fleet.apply(intent_for(options))
        time.sleep(options.settle)
        before, store_before = ResourceUsage(fleet.nodes), fleet.platform_stats()
        time.sleep(options.idle)
        idle, store_idle = ResourceUsage(fleet.nodes), fleet.platform_stats()
        delays = measure_changes(fleet, options)
        after, store_after = ResourceUsage(fleet.nodes), fleet.platform_stats()
        idle_cost = control_cost(before, idle, fleet.nodes)
        change_bytes = (
            (after.bytes - idle.bytes) / len(fleet.nodes)
            - idle_cost["control_bytes_per_node_s"] * (after.at - idle.at)
        ) / options.changes
        # Without the 3 calls of IntentWriter.write(): two reads and one write.
        change_calls = (store_after["calls"] - store_idle["calls"]) / options.changes - 3
        result = {
            "nodes": options.nodes,
            "data_centres": options.data_centres,
            "changes": options.changes,
            "convergence_p50_ms": round(percentile(delays, 0.5), 1),
            "convergence_p99_ms": round(percentile(delays, 0.99), 1),
            "convergence_max_ms": round(max(delays), 1),
            **idle_cost,
            "bytes_per_change_per_node": round(change_bytes),
            "control_bytes_per_node_s_at_510_a_day": round(
                idle_cost["control_bytes_per_node_s"] + change_bytes * 510 / 86400
            ),
            "store_calls_per_s": round(
                (store_idle["calls"] - store_before["calls"]) / (idle.at - before.at), 2
            ),
            "store_calls_per_change": round(change_calls, 1),
            "waiting_watches": options.nodes if experiment else sum(
                1 for node in fleet.nodes if (node.status() or {}).get("watcher")
            ),
            "neighbours_max": max(node.status()["neighbours"] for node in fleet.nodes),
            "reverts": count_reverts(fleet.nodes),
        }
        refused = sum(node.metrics().get("intents_refused", 0) for node in fleet.nodes)
        # Partially applied intents and dangling references are not measured here; unit tests check
        # them.
        result["refused_intents"] = refused
        result.update(run_faults(fleet, options))
        return result


def measure_recovery(fleet, name):
    """Measures the time in ms from the end of a fault until a new change is in force everywhere."""
    at = time.time()
    limit = time.monotonic() + 30
    written = None
    while written is None and time.monotonic() < limit:
        written = IntentWriter(fleet).write(1500 + int(at) % 100)
        time.sleep(0.02)
    is_in_force = written and wait_for_revision(fleet.nodes, written[0])
    delays = propagation_delays(fleet.nodes, written[0], at) if is_in_force else [float("inf")]
    return {f"{name}_recovered_ms": round(max(delays), 1)}


def run_faults(fleet, options):
    """Injects the faults chosen by the options and measures the recovery from each."""
    result = {}
    if options.store_outage:
        fleet.faults(out=True)
        code, _ = fleet.command("default", "set", "callTimeoutMs", "1234", "--reason", "outage")
        time.sleep(4.0)
        restarted = fleet.nodes[-1]
        restarted.process.kill()
        restarted.start()
        joined = wait_for_revision([restarted], 1, 10.0)
        fleet.faults()
        result.update(measure_recovery(fleet, "store_outage"))
        result["store_outage_exit_code"] = code
        result["store_outage_new_node_served"] = joined
    if options.lost_answers:
        fleet.faults(lostWriteAnswers=1)
        code, output = fleet.command("default", "set", "callTimeoutMs", "1777", "--reason", "lost")
        stored = json.loads(http("GET", fleet.platform_port, KEY)[1])
        is_stored = stored["document"]["defaults"]["callTimeoutMs"] == 1777
        result["lost_answers_told_truth"] = (code == 0) == is_stored
        result.update(measure_recovery(fleet, "lost_answers"))
    if options.herd_restart:
        restarted_nodes = fleet.nodes[:: 2]
        for node in restarted_nodes:
            node.process.kill()
        for node in restarted_nodes:
            node.start()
        at = time.time()
        served = wait_for_revision(fleet.nodes, 1)
        result["herd_serving_again_ms"] = round((time.time() - at) * 1000) if served else None
        result.update(measure_recovery(fleet, "herd_restart"))
    if result:
        result["reverts"] = count_reverts(fleet.nodes)
        result["recovered_ms"] = max(
            value for name, value in result.items() if name.endswith("_recovered_ms")
        )
    return result


def run(options):
    """Runs the measurement and the baseline, in which every node watches the platform."""
    result = run_once(options, {}, 11000)
    if options.baseline:
        no_faults = type(options)(**{**vars(options), "store_outage": False,
                                     "lost_answers": False, "herd_restart": False})
        baseline = run_once(no_faults, {"watchAlways": True}, 14000)
        for name in ("convergence_p99_ms", "store_calls_per_s", "waiting_watches",
                     "control_bytes_per_node_s"):
            result[f"baseline_{name}"] = baseline[name]
    return result


def add_options(parser):
    """Adds the command-line options of this measurement."""
    parser.add_argument("--nodes", type=int, default=24)
    parser.add_argument("--data-centres", type=int, default=4)
    parser.add_argument("--changes", type=int, default=8)
    parser.add_argument("--pause", type=float, default=0.3, help="seconds between changes")
    parser.add_argument("--settle", type=float, default=3.0,
                        help="seconds until the gossip of the start has ended")
    parser.add_argument("--idle", type=float, default=8.0,
                        help="seconds without changes, for the idle cost")
    parser.add_argument("--store-outage", action="store_true")
    parser.add_argument("--lost-answers", action="store_true")
    parser.add_argument("--herd-restart", action="store_true")
    parser.add_argument("--no-baseline", dest="baseline", action="store_false")
