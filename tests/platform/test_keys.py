"""Tests that callers are served by the keys of their organisations, through every node."""

import asyncio
import concurrent.futures
import http.client
import json
import signal
import time
import unittest

from platform_case import SERVICES, PlatformCase
from platform_fleet import configuration, rule
from upstream import ATTEMPT

TENANT = "X-Boragetrack-Tenant-Id"
KEYS = {"pulo780": "pulo-key.1~A+/=", "kabo51": "kabo-key-1"}
OTHER_KEYS = ["removed-key-7", "added-key-8", "unknown-key-9", "malformed,key,5"]
RULES = [
    rule("items", "/items/", service="items"),
    rule("orders", "/orders/", kind="unsafe", service="orders"),
    {**rule("public", "/public/", service="items"), "publicAccess": True},
]
# The time in which an added or removed key must be in force on all nodes.
IN_FORCE_SECONDS = 2.0


def tenant(name, *keys, **fields):
    return {"name": name, "apiKeys": list(keys), **fields}


def keyed_configuration(number, tenants=None):
    """Returns a configuration with tenants: those of KEYS unless others are given."""
    if tenants is None:
        tenants = [tenant(name, key) for name, key in KEYS.items()]
    return {**configuration(number, RULES, SERVICES), "tenants": tenants}


def bearer(key):
    return [("Authorization", f"Bearer {key}")]


class Caller:
    """A caller's persistent connection to a node."""

    def __init__(self, node, timeout=5.0):
        self.node = node
        self.connection = http.client.HTTPConnection("127.0.0.1", node.caller_port, timeout=timeout)

    def call(self, fields=(), path="/items/1", method="GET", body=b"", attempt=None):
        """Sends a request with further header fields. Returns the response, whose body was read."""
        self.connection.putrequest(method, path, skip_host=True, skip_accept_encoding=True)
        attempt = attempt or self.node.fleet.next_attempt()
        head = [("Host", "shop.example"), (ATTEMPT, attempt),
                ("X-Boragetrack-Time-Budget-Ms", "2000"), *fields]
        if body:
            head.append(("Content-Length", str(len(body))))
        for name, value in head:
            self.connection.putheader(name, value)
        self.connection.endheaders(body or None)
        response = self.connection.getresponse()
        response.read()
        return response

    def close(self):
        self.connection.close()


def status_of(node, fields=(), **request):
    """Returns the status of one request on a connection of its own."""
    caller = Caller(node)
    try:
        return caller.call(fields, **request).status
    finally:
        caller.close()


class KeysCase(PlatformCase):
    """A fleet whose callers need keys."""

    def start_keyed_fleet(self, tenants=None):
        self.store.put("op/config", keyed_configuration(5, tenants))
        self.fleet.start()
        for node in self.fleet.nodes:
            self.fleet.wait_until(
                lambda n=node: status_of(n, bearer(KEYS["pulo780"])) == 200
                and status_of(n, bearer(KEYS["pulo780"]), path="/orders/1", method="POST") == 200,
                f"{node.name} serves calls with a key")
        self.fleet.wait_until_upstreams_known()

    def request_of(self, attempt):
        """Returns the request of an attempt as the upstream received it, or None."""
        return next((r for node in self.fleet.nodes if node.upstream
                     for _, a, r in node.upstream.runs if a == attempt), None)

    def expect_in_force(self, condition, what):
        """Waits until a condition holds for all nodes, for the time that the pages give."""
        end = time.monotonic() + IN_FORCE_SECONDS
        for node in self.fleet.nodes:
            if node.process and node.process.is_running():
                self.fleet.wait_until(lambda n=node: condition(n), f"{node.name}: {what}",
                                      max(0.1, end - time.monotonic()))

    def tearDown(self):
        # A key that a log reveals is lost to whoever reads logs.
        for node in self.fleet.nodes:
            if node.process is None:
                continue
            log = node.log_text()
            for key in [*KEYS.values(), *OTHER_KEYS]:
                self.assertNotIn(key, log, f"the log of {node.name} contains a key")


class KeysTest(KeysCase):
    """Keys, organisations and nested calls on the platform's interface."""

    first_port = 26000

    # ---------------------------------------------------------------- refused keys

    # A node that takes one malformed form for a key lets in whoever knows no key; one that closes
    # the connection, or takes the body for the next request, fails callers that have a key.
    def test_refuses_each_bad_form_of_a_key_with_401_and_keeps_the_connection(self):
        self.start_keyed_fleet()
        good = KEYS["pulo780"]
        bad_forms = {
            "no key": [],
            "unknown key": bearer("unknown-key-9"),
            "two fields": bearer(good) + bearer(good),
            "a good and a bad field": bearer(good) + [("authorization", "Bearer unknown-key-9")],
            "another scheme": [("Authorization", f"Basic {good}")],
            "no scheme": [("Authorization", good)],
            "scheme only": [("Authorization", "Bearer")],
            "empty": [("Authorization", "")],
            "two spaces": [("Authorization", f"Bearer  {good}")],
            "tab": [("Authorization", f"Bearer\t{good}")],
            "list": [("Authorization", f"Bearer {good}, Bearer {good}")],
            "more after the key": [("Authorization", f"Bearer {good} x")],
            "quoted": [("Authorization", f'Bearer "{good}"')],
            "bytes beyond ASCII": [("Authorization", f"Bearer {good}\xe9")],
            "too long": bearer("k" * 257),
            "prefix of a key": bearer(good[:-1]),
            "other case": bearer(good.upper()),
            "other header": [("Proxy-Authorization", f"Bearer {good}")],
        }
        for node in self.fleet.nodes:
            caller = Caller(node)
            first_socket = None
            for form, fields in bad_forms.items():
                attempt = self.fleet.next_attempt()
                response = caller.call(fields, "/orders/1", "POST", b"body", attempt)
                self.assertEqual(response.status, 401, f"{form} through {node.name}")
                self.assertEqual(response.headers["WWW-Authenticate"], "Bearer")
                self.assertIsNone(self.request_of(attempt), form)
                first_socket = first_socket or caller.connection.sock
                self.assertIs(caller.connection.sock, first_socket, f"{form} ends the connection")
            self.assertEqual(caller.call([], "/orders/1", "POST", b"x" * 500_000).status, 401)
            self.assertEqual(caller.call(bearer(good)).status, 200)
            self.assertIs(caller.connection.sock, first_socket)
            caller.close()
            self.assertGreaterEqual(node.metrics()["access_refused"], len(bad_forms))
            self.assertIn(" E530 ", node.log_text())

    # An answer of 401 to a path that doesn't exist would tell that keys are needed for it, and
    # callers would take a wrong path for a wrong key.
    def test_answers_404_without_a_route_before_it_looks_at_the_key(self):
        self.start_keyed_fleet()
        self.assertEqual(status_of(self.nodes["items-ikeja"], path="/nowhere/"), 404)

    # Callers take 401 as final: a node that knows no keys yet must not refuse for good.
    def test_answers_503_before_the_first_configuration(self):
        self.fleet.start()
        node = self.nodes["items-ikeja"]
        self.fleet.wait_until(lambda: status_of(node), "the node accepts connections")
        for fields in ([], bearer(KEYS["pulo780"]), bearer("unknown-key-9")):
            self.assertEqual(status_of(node, fields), 503)

    # Deployments without organisations must not notice this feature.
    def test_passes_the_authorization_on_without_tenants(self):
        self.start_fleet()
        fields = [("Authorization", "Basic own"), (TENANT, "own")]
        attempt = self.fleet.next_attempt()
        self.assertEqual(status_of(self.nodes["items-lekki"], fields, attempt=attempt), 200)
        request = self.request_of(attempt)
        self.assertEqual(request.header("Authorization"), "Basic own")
        self.assertEqual(request.header(TENANT), "own")

    # With an empty list of tenants nobody has a key.
    def test_refuses_all_keys_if_there_are_no_tenants(self):
        self.store.put("op/config", keyed_configuration(5, []))
        self.fleet.start()
        for node in self.fleet.nodes:
            self.fleet.wait_until(lambda n=node: status_of(n, path="/public/1") == 200,
                                  f"{node.name} serves public calls")
            self.assertEqual(status_of(node, bearer(KEYS["pulo780"])), 401)
            self.assertEqual(status_of(node), 401)

    # ---------------------------------------------------------------- organisations

    # An upstream that gets a caller's own value, or the key, can be deceived or can reveal it.
    def test_tells_the_upstream_the_organisation_whatever_the_caller_wrote(self):
        self.start_keyed_fleet()
        forged = [(TENANT, "kabo51"), (TENANT.lower(), ""), (TENANT.upper(), "kabo51")]
        for node in self.fleet.nodes:
            for path in ("/items/1", "/orders/1", "/public/1"):
                for fields in (forged, [("Connection", f"{TENANT}, Authorization")]):
                    attempt = self.fleet.next_attempt()
                    status = status_of(node, bearer(KEYS["pulo780"]) + fields, path=path,
                                       attempt=attempt)
                    self.assertEqual(status, 200)
                    request = self.request_of(attempt)
                    self.assertEqual(request.header(TENANT), "pulo780")
                    self.assertIsNone(request.header("Authorization"))
                    self.assertNotIn(KEYS["pulo780"], str(request.headers))

    # A public route that demanded keys would fail its callers; one that forwarded them, or names
    # that callers made up, would deceive its upstreams.
    def test_serves_a_public_route_with_any_key_or_none(self):
        self.start_keyed_fleet()
        for node in self.fleet.nodes:
            for fields, organisation in (([], None), (bearer("unknown-key-9"), None),
                                         (bearer(KEYS["kabo51"]), "kabo51"),
                                         (bearer(KEYS["kabo51"]) * 2, None),
                                         ([("Authorization", "Basic x")], None)):
                attempt = self.fleet.next_attempt()
                status = status_of(node, fields + [(TENANT, "forged")], path="/public/1",
                                   attempt=attempt)
                self.assertEqual(status, 200)
                request = self.request_of(attempt)
                self.assertEqual(request.header(TENANT), organisation)
                self.assertIsNone(request.header("Authorization"))

    # ---------------------------------------------------------------- changes

    # A node that misses the change serves a caller that may no longer call, or refuses for good one
    # that may.
    def test_removed_and_added_keys_are_in_force_on_all_nodes_in_time(self):
        self.start_keyed_fleet([tenant("pulo780", KEYS["pulo780"], "removed-key-7")])
        for node in self.fleet.nodes:
            self.assertEqual(status_of(node, bearer("removed-key-7")), 200)
            self.assertEqual(status_of(node, bearer("added-key-8")), 401)
        self.store.put("op/config", keyed_configuration(
            6, [tenant("pulo780", KEYS["pulo780"]), tenant("kabo51", "added-key-8")]))
        self.expect_in_force(lambda n: status_of(n, bearer("removed-key-7")) == 401
                             and status_of(n, bearer("added-key-8")) == 200,
                             "the changed keys are in force")
        for node in self.fleet.nodes:
            self.assertEqual(status_of(node, bearer(KEYS["pulo780"])), 200)

    # The store answers late and can't list earlier changes: nodes must list it again in time.
    def test_a_removed_key_is_refused_in_time_by_a_slow_store_that_lost_its_history(self):
        self.start_keyed_fleet([tenant("pulo780", KEYS["pulo780"], "removed-key-7")])
        self.store.delay = 0.25
        self.store.compact_history()
        self.store.put("op/config", keyed_configuration(6, [tenant("pulo780", KEYS["pulo780"])]))
        self.expect_in_force(lambda n: status_of(n, bearer("removed-key-7")) == 401,
                             "the removed key is refused")

    # A node that comes back without keys would refuse all callers for good.
    def test_a_node_restarted_while_the_store_is_away_knows_the_keys_through_its_peers(self):
        self.start_keyed_fleet()
        self.store.fault = "out"
        node = self.nodes["items-ikeja"]
        node.process.kill()
        node.process.start()
        statuses = set()

        def is_served():
            statuses.add(status_of(node, bearer(KEYS["pulo780"])))
            return 200 in statuses

        self.fleet.wait_until(is_served, "the restarted node serves calls with a key")
        self.assertNotIn(401, statuses, "the node refused a known key before it knew any")
        self.assertEqual(status_of(node, bearer("unknown-key-9")), 401)
        self.assertEqual(status_of(node), 401)

    def expect_refused(self, configurations):
        """Expects that nodes log the refusal of each configuration and keep the present keys."""
        node = self.nodes["items-ikeja"]
        for number, value in enumerate(configurations, 1):
            self.store.put("op/config", value)
            self.fleet.wait_until(lambda n=number: node.log_text().count(" E201 ") >= n,
                                  f"refusal {number} is logged")
        for node in self.fleet.nodes:
            self.assertEqual(status_of(node, bearer(KEYS["pulo780"])), 200)
            self.assertEqual(status_of(node, bearer("added-key-8")), 401)

    # A configuration with a fault in its tenants must change nothing, and what is logged of it must
    # not contain its keys.
    def test_keeps_the_keys_when_tenants_are_malformed(self):
        self.start_keyed_fleet()
        good = tenant("kabo51", "added-key-8")
        self.expect_refused([
            keyed_configuration(6, [good, tenant("", "unknown-key-9")]),
            keyed_configuration(7, [good, tenant("pulo780", "malformed,key,5")]),
            keyed_configuration(8, [good, {"name": "pulo780", "apiKeys": "unknown-key-9"}]),
            keyed_configuration(9, {"name": "added-key-8"}),
            json.dumps(keyed_configuration(10, [good])).replace("]", "", 1).encode(),
        ])

    # Of two organisations with one name or one key, the wrong one would get the requests.
    def test_keeps_the_keys_when_names_or_keys_clash(self):
        self.start_keyed_fleet()
        good = tenant("kabo51", "added-key-8")
        self.expect_refused([
            keyed_configuration(6, [good, tenant("kabo51", "unknown-key-9")]),
            keyed_configuration(7, [good, tenant("pulo780", "added-key-8")]),
        ])

    # ---------------------------------------------------------------- nested calls

    def call_back_from(self, node, suffix, results, fields=""):
        """Makes a node's upstream call an item through its node before it responds.

        Parameter fields is further header lines, each with its line end.
        """
        original = node.upstream.handle

        async def call_and_handle(request):
            if request.path.startswith("/orders/nested"):
                attempt = request.header(ATTEMPT) + suffix
                results.append((attempt, await self.call_with(node, attempt, fields)))
            return await original(request)

        node.upstream.handle = call_and_handle

    @staticmethod
    async def call_with(node, attempt, fields):
        reader, writer = await asyncio.open_connection("127.0.0.1", node.caller_port)
        writer.write(f"GET /items/1 HTTP/1.1\r\nHost: shop.example\r\n{ATTEMPT}: {attempt}\r\n"
                     f"{TENANT}: forged\r\nX-Boragetrack-Time-Budget-Ms: 1000\r\n{fields}"
                     f"Connection: close\r\n\r\n".encode())
        line = await reader.readline()
        writer.close()
        return int(line.split()[1]) if line else None

    # Upstreams have no key: if theirs were demanded, each request that needs another service would
    # fail. Without the inherited organisation, its work would be nobody's.
    def test_nested_calls_need_no_key_and_inherit_the_organisation(self):
        self.start_keyed_fleet()
        results = []
        for node in self.fleet.nodes:
            if node.service == "orders":
                self.call_back_from(node, ".1", results)
        for node in self.fleet.nodes:
            self.assertEqual(status_of(node, bearer(KEYS["kabo51"]), path="/orders/nested",
                                       method="POST"), 200)
        self.assertEqual(len(results), len(self.fleet.nodes))
        for attempt, status in results:
            self.assertEqual(status, 200)
            self.assertEqual(self.request_of(attempt).header(TENANT), "kabo51")

    # A caller that writes a suffix to the identifier of a running request must not go before other
    # callers, nor escape the usage counts: a request with a key is a caller's own.
    def test_takes_no_request_with_a_key_for_a_nested_call(self):
        self.start_keyed_fleet()
        results = []
        for node in self.fleet.nodes:
            if node.service == "orders":
                self.call_back_from(node, ".1", results,
                                    f"Authorization: Bearer {KEYS['kabo51']}\r\n")
        self.assertEqual(status_of(self.fleet.nodes[0], bearer(KEYS["pulo780"]),
                                   path="/orders/nested", method="POST"), 200)
        attempt, status = results[0]
        self.assertEqual(status, 200)
        self.assertEqual(self.request_of(attempt).header(TENANT), "kabo51")
        line = self.fleet.wait_for_line(f"E510 call served request={attempt} ")
        self.assertNotIn("rank=0 ", line)

    # The identifier alone must not let anybody in, and a node that was restarted can't know what
    # its upstream is still running: neither may be refused for good.
    def test_refuses_for_the_time_being_nested_calls_whose_parent_does_not_run(self):
        self.start_keyed_fleet()
        for node in self.fleet.nodes:
            attempt = self.fleet.next_attempt() + ".1"
            self.assertEqual(status_of(node, attempt=attempt), 503)
            self.assertIsNone(self.request_of(attempt))
            self.assertEqual(status_of(node, bearer("unknown-key-9"), attempt=attempt + ".1"), 401)
            self.assertEqual(status_of(node, bearer(KEYS["kabo51"]), attempt=attempt + ".2"), 200)


class FreshnessTest(KeysCase):
    """Nodes that refuse keyed requests when their keys may be out of date."""

    first_port = 26900
    limit_seconds = 3.0

    def setUp(self):
        super().setUp()
        for node in self.fleet.nodes:
            node.extra_settings = {
                "keyFreshness": {"strict": True, "limitSeconds": self.limit_seconds}}

    # Without the store a key that was removed would be accepted for as long as the outage lasts.
    # A refusal for good, of known or unknown keys, would outlast the outage at callers.
    def test_refuses_keyed_requests_for_the_time_of_an_outage(self):
        self.start_keyed_fleet()
        self.store.fault = "out"
        for node in self.fleet.nodes:
            self.fleet.wait_until(lambda n=node: status_of(n, bearer(KEYS["pulo780"])) == 503,
                                  f"{node.name} refuses keyed requests")
            self.assertEqual(status_of(node, bearer("unknown-key-9")), 503)
            self.assertEqual(status_of(node, path="/public/1"), 200)
            self.fleet.wait_until(lambda n=node: " E531 " in n.log_text(), "the refusal is logged")
        self.store.fault = None
        for node in self.fleet.nodes:
            self.fleet.wait_until(lambda n=node: status_of(n, bearer(KEYS["pulo780"])) == 200,
                                  f"{node.name} serves keyed requests again")

    # Most nodes hear of the store from others only, and the store may be slow: none of them may
    # refuse callers while all is well.
    def test_serves_keyed_requests_while_others_are_in_touch_with_a_slow_store(self):
        self.start_keyed_fleet()
        self.store.delay = 0.25
        end = time.monotonic() + 3 * self.limit_seconds
        while time.monotonic() < end:
            for node in self.fleet.nodes:
                self.assertEqual(status_of(node, bearer(KEYS["pulo780"])), 200, node.name)
            time.sleep(0.1)

    # The links of the node still carry old responses of its peers, which prove nothing.
    def test_accepts_no_removed_key_after_it_was_paused(self):
        self.start_keyed_fleet([tenant("pulo780", KEYS["pulo780"], "removed-key-7")])
        node = self.nodes["items-lekki"]
        node.process.signal(signal.SIGSTOP)
        self.store.put("op/config", keyed_configuration(6, [tenant("pulo780", KEYS["pulo780"])]))
        time.sleep(self.limit_seconds + 1.0)
        callers = [Caller(node, timeout=10.0) for _ in range(8)]
        with concurrent.futures.ThreadPoolExecutor(len(callers)) as pool:
            pending = [pool.submit(caller.call, bearer("removed-key-7")) for caller in callers]
            time.sleep(0.3)
            node.process.signal(signal.SIGCONT)
            statuses = {call.result().status for call in pending}
        for caller in callers:
            caller.close()
        while 401 not in statuses:
            statuses.add(status_of(node, bearer("removed-key-7")))
        self.assertNotIn(200, statuses)


if __name__ == "__main__":
    unittest.main()
