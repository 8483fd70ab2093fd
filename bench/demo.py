"""Shows a small deployment at work and checks what was promised on the way."""

import argparse
import sys
import time

from deployments import DEPLOYMENTS
from fleet import Fleet, BUILD
from load import Load, judge, percentile, served_by_second


class Demo:
    """Runs the steps and remembers whether each promise was kept."""

    def __init__(self, fleet, deployment):
        self.fleet = fleet
        self.deployment = deployment
        self.broken = []

    def say(self, text):
        print(text, flush=True)

    def promise(self, is_kept, text):
        """Prints one promise and whether it was kept."""
        self.say(f"  {'ok  ' if is_kept else 'FAIL'}  {text}")
        if not is_kept:
            self.broken.append(text)

    def command(self, *words, expect=0):
        """Runs the command line and shows what it says."""
        self.say(f"  $ boragetrack {' '.join(map(str, words))}")
        code, told = self.fleet.command(*words)
        for line in str(told.get("text", "")).splitlines():
            self.say(f"      {line}")
        self.promise(code == expect, f"exit code {code}")
        return told

    def load(self, prefix, seconds, rate=200):
        """Starts pre-orders and reads through all nodes."""
        paths = [prefix for service in self.deployment.services for _, prefix in service.routes]
        return Load(self.fleet, [node.callers for node in self.fleet.nodes], prefix,
                    rate=rate, seconds=seconds, connections=16,
                    read=[f"{path}/read" for path in paths],
                    post=[f"{path}/order" for path in paths], post_percent=50)

    def check_calls(self, calls):
        """Checks what callers were told against what upstreams ran."""
        upstreams = [node.upstream for node in self.fleet.nodes if node.upstream]
        verdict = judge(calls, upstreams + self.fleet.extra)
        latency = [call.latency_us for call in calls]
        worst = min(share for _, share in served_by_second(calls))
        self.say(f"  {verdict['calls']} calls, p50 {percentile(latency, 0.5) / 1000:.1f} ms, "
                 f"p99 {percentile(latency, 0.99) / 1000:.1f} ms, "
                 f"worst second {worst:.1f} percent served")
        self.promise(verdict["ok"] == verdict["calls"], f"{verdict['ok']} calls were served")
        for name in ("lost", "doubled", "wrong_answers", "false_not_run"):
            self.promise(verdict[name] == 0, f"{name.replace('_', ' ')}: {verdict[name]}")

    def start(self):
        """Starts the deployment with its first intent."""
        names = ", ".join(self.deployment.data_centres)
        self.say(f"\n1. {self.deployment.name}: data centres {names}")
        self.fleet.deploy(self.deployment, {"service-us": 3000})
        self.fleet.wait_for_members()
        code, told = self.fleet.apply(self.deployment.intent())
        self.promise(code == 0, told.get("text", ""))
        self.fleet.wait_for_upstreams()
        self.say(f"  {len(self.fleet.nodes)} nodes, each with an upstream beside it")

    def serve(self):
        self.say("\n2. Pre-orders and reads through every node")
        self.check_calls(self.load("a", 4).calls())

    def change(self):
        self.say("\n3. A default, an exception and their audit trail")
        route = self.deployment.services[1].routes[0][0]
        self.command("default", "set", "callTimeoutMs", 1500, "--reason", "faster refusals",
                     "--wait")
        self.command("exception", "add", "bank", "callTimeoutMs", 2500, "--route", route,
                     "--reason", "the bank answers slowly before noon", "--wait")
        self.command("explain", route, "callTimeoutMs")
        self.command("status")
        self.command("history")

    def data_centre(self):
        self.say("\n4. A data centre leaves and returns under load")
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
                self.fleet.extra.append(node.upstream)
            node.add_upstream(service.name, version, **{"service-us": 3000}, **options)
        time.sleep(2.5)
        load = self.load(version, 19, rate=400)
        time.sleep(0.5)
        told = self.command("move", "start", service.name, "--from", "v1", "--to", version,
                            "--by", "+16s", "--reason", "the December release")
        begun = time.monotonic()
        code, end = self.fleet.command("move", "wait", told.get("move", ""), "--timeout", 25)
        self.say(f"      {end.get('text', '')}")
        self.promise(end.get("state") == expected,
                     f"{end.get('state')} after {time.monotonic() - begun:.1f} s")
        calls = load.calls()
        failed = sum(1 for call in calls if call.outcome == "failed")
        share = 100.0 * failed / len(calls)
        self.promise(share < 1.0, f"{share:.3f} percent of all calls failed")

    def moves(self):
        service = self.deployment.services[1].name
        self.say(f"\n5. {service} moves to a version that fails: it is taken back")
        self.move("v2", {"fail-percent": 100}, "takenBack")
        self.say(f"\n6. {service} moves to a good version: it is done in time")
        self.move("v3", {}, "done")

    def stay(self):
        """Leaves everything running until the person is done."""
        settings = self.fleet.write_operator_settings()
        node = self.fleet.nodes[0]
        path = self.deployment.services[0].routes[0][1]
        self.say("\nEverything goes on running. Try:")
        self.say(f"  export BORAGETRACK_SETTINGS={settings}")
        self.say(f"  {BUILD}/boragetrack status")
        self.say(f"  {BUILD}/boragetrack move status")
        self.say(f"  curl -i http://127.0.0.1:{node.callers}{path}/read")
        self.say(f"  curl http://127.0.0.1:{node.operators}/metrics")
        self.say("Press Enter (or Ctrl-C) to end it.")
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
        if demo.broken:
            print(f"\n{len(demo.broken)} promises were broken:")
            for text in demo.broken:
                print(f"  {text}")
        else:
            print("\nEverything promised happened.")
        if options.stay:
            demo.stay()
    return 1 if demo.broken else 0


if __name__ == "__main__":
    sys.exit(main())
