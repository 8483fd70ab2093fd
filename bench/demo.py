"""Shows a small deployment at work and checks what was promised on the way."""

import argparse
import sys
import time

from deployments import DEPLOYMENTS
from fleet import Fleet, BUILD
from load import Load, check_outcomes, percentile, served_by_second


class Demo:
    """Runs the steps and remembers whether each promise was kept."""

    def __init__(self, fleet, deployment):
        self.fleet = fleet
        self.deployment = deployment
        self.failures = []

    def print_line(self, text):
        print(text, flush=True)

    def check(self, is_kept, text):
        """Prints one promise and whether it was kept."""
        self.print_line(f"  {'ok  ' if is_kept else 'FAIL'}  {text}")
        if not is_kept:
            self.failures.append(text)

    def command(self, *words, expect=0):
        """Runs the command line and shows what it says."""
        self.print_line(f"  $ boragetrack {' '.join(map(str, words))}")
        code, output = self.fleet.command(*words)
        for line in str(output.get("text", "")).splitlines():
            self.print_line(f"      {line}")
        self.check(code == expect, f"exit code {code}")
        return output

    def load(self, prefix, seconds, rate=200):
        """Starts pre-orders and reads through all nodes."""
        paths = [prefix for service in self.deployment.services for _, prefix in service.routes]
        return Load(self.fleet, [node.caller_port for node in self.fleet.nodes], prefix,
                    rate=rate, seconds=seconds, connections=16,
                    read=[f"{path}/read" for path in paths],
                    post=[f"{path}/order" for path in paths], post_percent=50)

    def check_calls(self, calls):
        """Checks what callers were told against what upstreams ran."""
        upstreams = [node.upstream for node in self.fleet.nodes if node.upstream]
        counts = check_outcomes(calls, upstreams + self.fleet.replaced_upstreams)
        latency = [call.latency_us for call in calls]
        worst = min(share for _, share in served_by_second(calls))
        self.print_line(f"  {counts['calls']} calls, p50 {percentile(latency, 0.5) / 1000:.1f} ms, "
                 f"p99 {percentile(latency, 0.99) / 1000:.1f} ms, "
                 f"worst second {worst:.1f} percent served")
        self.check(counts["ok"] == counts["calls"], f"{counts['ok']} calls were served")
        for name in ("lost", "doubled", "wrong_answers", "false_not_run"):
            self.check(counts[name] == 0, f"{name.replace('_', ' ')}: {counts[name]}")

    def start(self):
        """Starts the deployment with its first intent."""
        names = ", ".join(self.deployment.data_centres)
        self.print_line(f"\n1. {self.deployment.name}: data centres {names}")
        self.fleet.deploy(self.deployment, {"service-us": 3000})
        self.fleet.wait_for_members()
        code, output = self.fleet.apply(self.deployment.intent())
        self.check(code == 0, output.get("text", ""))
        self.fleet.wait_for_upstreams()
        self.print_line(f"  {len(self.fleet.nodes)} nodes, each with an upstream beside it")

    def serve(self):
        self.print_line("\n2. Pre-orders and reads through every node")
        self.check_calls(self.load("a", 4).calls())

    def change(self):
        self.print_line("\n3. A default, an exception and their audit trail")
        route = self.deployment.services[1].routes[0][0]
        self.command("default", "set", "callTimeoutMs", 1500, "--reason", "faster refusals",
                     "--wait")
        self.command("exception", "add", "bank", "callTimeoutMs", 2500, "--route", route,
                     "--reason", "the bank answers slowly before noon", "--wait")
        self.command("explain", route, "callTimeoutMs")
        self.command("status")
        self.command("history")

    def data_centre(self):
        self.print_line("\n4. A data centre leaves and returns under load")
        name = self.deployment.data_centres[0]
        load = self.load("d", 8)
        time.sleep(1.5)
        self.command("datacentre", "out", name, "--reason", "works on the feeder", "--wait")
        time.sleep(2.0)
        self.command("datacentre", "back", name, "--reason", "works are over", "--wait")
        self.check_calls(load.calls())

    def move(self, version, options, expected):
        """Moves the second service to a version and checks how it ends."""
        service = self.deployment.services[1]
        spare = [node for node in self.fleet.nodes if node.name.startswith("spare-")]
        for number in range(len(spare), service.servers):
            centre = self.deployment.data_centres[number % len(self.deployment.data_centres)]
            node = self.fleet.add_node(f"spare-{number}", centre)
            node.start()
            spare.append(node)
        for node in spare:
            if node.upstream:
                node.upstream.process.terminate()
                self.fleet.replaced_upstreams.append(node.upstream)
            node.add_upstream(service.name, version, **{"service-us": 3000}, **options)
        time.sleep(2.5)
        load = self.load(version, 19, rate=400)
        time.sleep(0.5)
        output = self.command("move", "start", service.name, "--from", "v1", "--to", version,
                            "--by", "+16s", "--reason", "the December release")
        begun = time.monotonic()
        code, end = self.fleet.command("move", "wait", output.get("move", ""), "--timeout", 25)
        self.print_line(f"      {end.get('text', '')}")
        self.check(end.get("state") == expected,
                     f"{end.get('state')} after {time.monotonic() - begun:.1f} s")
        calls = load.calls()
        failed = sum(1 for call in calls if call.outcome == "failed")
        share = 100.0 * failed / len(calls)
        self.check(share < 1.0, f"{share:.3f} percent of all calls failed")

    def moves(self):
        service = self.deployment.services[1].name
        self.print_line(f"\n5. {service} moves to a version that fails: it is taken back")
        self.move("v2", {"fail-percent": 100}, "takenBack")
        self.print_line(f"\n6. {service} moves to a good version: it is done in time")
        self.move("v3", {}, "done")

    def stay(self):
        """Leaves everything running until the person is done."""
        settings = self.fleet.write_operator_settings()
        node = self.fleet.nodes[0]
        path = self.deployment.services[0].routes[0][1]
        self.print_line("\nEverything goes on running. Try:")
        self.print_line(f"  export BORAGETRACK_SETTINGS={settings}")
        self.print_line(f"  {BUILD}/boragetrack status")
        self.print_line(f"  {BUILD}/boragetrack move status")
        self.print_line(f"  curl -i http://127.0.0.1:{node.caller_port}{path}/read")
        self.print_line(f"  curl http://127.0.0.1:{node.operator_port}/metrics")
        self.print_line("Press Enter (or Ctrl-C) to end it.")
        try:
            input()
        except (EOFError, KeyboardInterrupt):
            pass


def main():
    """Runs the demo. Returns non-zero when a promise was broken."""
    parser = argparse.ArgumentParser(prog="scripts/demo")
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="lagos")
    parser.add_argument("--stay", action="store_true", help="leave it running at the end")
    parser.add_argument("--quick", action="store_true", help="leave the moves out")
    options = parser.parse_args()
    with Fleet(16000) as fleet:
        demo = Demo(fleet, DEPLOYMENTS[options.deployment])
        demo.start()
        demo.serve()
        demo.change()
        demo.data_centre()
        if not options.quick:
            demo.moves()
        if demo.failures:
            print(f"\n{len(demo.failures)} promises were broken:")
            for text in demo.failures:
                print(f"  {text}")
        else:
            print("\nEverything promised happened.")
        if options.stay:
            demo.stay()
    return 1 if demo.failures else 0


if __name__ == "__main__":
    sys.exit(main())
