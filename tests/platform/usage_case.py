"""The fleet and the checks that the tests of usage reports share."""

import collections
import json
import time

from fleet import TOKEN, http as get_text
from keyed_caller import KeyedCaller
from platform_case import PlatformCase, RULES, SERVICES
from platform_fleet import configuration
from usage_receiver import UsageReceiver

KEYS = {"pulo780": "k-pulo780", "kabo51": "k-kabo51", "tiru2": "k-tiru2"}
WEIGHTS = [5, 3, 2]
ORGANISATION = "X-Boragetrack-Tenant-Id"
# The length of a window and the lifetime of the holder's lease, in s.
WINDOW = 1.0
LEASE = 3.0
# A request may begin to run in another window than that in which the upstream takes note of it.
EDGE = 0.1
TOLERANCE = 0.05


class UsageCase(PlatformCase):
    """Each node sends usage reports; callers of three organisations send requests to each node."""

    # Settings of all nodes besides those of usage reports.
    more_settings = {}

    def setUp(self):
        super().setUp()
        self.receiver = UsageReceiver(self.fleet.event_loop, self.fleet.ports.take())
        self.receiver.start()
        self.addCleanup(self.receiver.stop)
        for node in self.fleet.nodes:
            node.extra_settings = {"usageReports": {
                "receiver": f"127.0.0.1:{self.receiver.port}", "windowSeconds": WINDOW,
                "lateSeconds": 10, "leaseSeconds": LEASE, "callsPerSecond": 50},
                **self.more_settings}
        self.callers = []
        self.addCleanup(self.finish_callers)
        self.wall_offset = time.time() - time.monotonic()

    def start_reporting(self):
        """Starts the fleet and its callers, and waits for the first accepted report."""
        document = configuration(5, RULES, SERVICES)
        document["tenants"] = [{"name": name, "apiKeys": [key]} for name, key in KEYS.items()]
        self.store.put("op/config", document)
        self.fleet.start()
        headers = {"Authorization": f"Bearer {KEYS['pulo780']}"}
        for node in self.fleet.nodes:
            self.fleet.wait_until(lambda n=node: n.call(headers=headers).status == 200,
                                  f"{node.name} serves calls")
        self.fleet.wait_until_upstreams_known()
        self.start_callers(self.fleet.nodes)
        self.wait_for_reports(1)

    def start_callers(self, nodes):
        self.callers = [KeyedCaller(self.fleet, node, KEYS, WEIGHTS, seed)
                        for seed, node in enumerate(nodes)]

    def finish_callers(self):
        for caller in self.callers:
            caller.finish()
        self.callers = []

    # ------------------------------------------------------------------ observation

    def usage(self, node):
        code, text = get_text("GET", node.operator_port, "/v1/usage", token=TOKEN, timeout=2.0)
        return json.loads(text) if code == 200 else None

    def holder(self):
        """Returns the node that holds the duty, or None."""
        for node in self.fleet.nodes:
            if node.process.is_running():
                report = self.usage(node)
                if report and report["token"]:
                    return node
        return None

    def wait_for_reports(self, count, timeout=30.0):
        """Waits until so many further windows are reported."""
        goal = len(self.receiver.reports()) + count
        self.fleet.wait_until(lambda: len(self.receiver.reports()) >= goal,
                              f"{goal} windows are reported", timeout)

    def finish_and_wait_for_last_report(self, timeout=30.0):
        """Ends the callers and waits until the last window in which requests ran is reported."""
        self.finish_callers()
        last = max(self.window_of(at) for at, _ in self.runs())
        self.fleet.wait_until(lambda: last in self.receiver.reports(),
                              f"window {last} is reported", timeout)

    def window_of(self, monotonic):
        return int((monotonic + self.wall_offset) / WINDOW)

    def runs(self):
        """Returns the monotonic time and the organisation of each request that ran."""
        return [(at, request.header(ORGANISATION)) for node in self.fleet.nodes if node.upstream
                for at, _, request in list(node.upstream.runs) if request.header(ORGANISATION)]

    # ------------------------------------------------------------------ checks

    def check_reports(self):
        """Checks that windows are reported without a gap, each with one content, in order."""
        self.assertEqual(self.receiver.conflicts(), [])
        reported = sorted(self.receiver.reports())
        self.assertEqual(reported, list(range(reported[0], reported[-1] + 1)))
        for token, holders in self.receiver.holders_of_tokens().items():
            self.assertEqual(len(holders), 1, f"token {token} was sent by {holders}")

    def check_counts(self, is_checked=lambda window: True):
        """Compares the reports with what the upstreams ran."""
        reports = self.receiver.reports()
        true = collections.Counter()
        # Requests near the edges of a window, which may count in either window.
        uncertain = collections.Counter()
        for at, organisation in self.runs():
            window = self.window_of(at)
            true[window, organisation] += 1
            for other in {self.window_of(at - EDGE), self.window_of(at + EDGE)} - {window}:
                uncertain[window, organisation] += 1
                uncertain[other, organisation] += 1
        checked = 0
        for window, counts in sorted(reports.items()):
            if not is_checked(window):
                continue
            self.assertLessEqual(set(counts), set(KEYS))
            for organisation in KEYS:
                expected = true[window, organisation]
                allowed = TOLERANCE * expected + uncertain[window, organisation]
                self.assertLessEqual(
                    abs(counts.get(organisation, 0) - expected), allowed,
                    f"{organisation} in window {window}: reported {counts}, ran {expected}; logs "
                    f"in {self.fleet.folder}")
                checked += 1
        self.assertGreater(checked, 0)

    def check_totals(self):
        """Checks that the reports have every request that ran since the first reported window."""
        reports = self.receiver.reports()
        first = min(reports)
        ran = collections.Counter(o for at, o in self.runs() if self.window_of(at) >= first)
        reported = collections.Counter()
        for counts in reports.values():
            reported.update(counts)
        self.assertEqual(reported, ran, f"logs in {self.fleet.folder}")
