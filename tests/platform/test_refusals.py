"""Tests that callers are told "not run" only for requests that did not run, whatever earlier
refusals a faulty upstream writes again."""

import collections
import http.client
import random
import threading
import time
import unittest

from asyncserver import Response
from platform_case import PlatformCase
from platform_fleet import rule
from upstream import ATTEMPT, MISDIRECTED, NOT_RUN, STAMP

# Statuses that guarantee to a caller that its request has not run and never will.
NOT_RUN_STATUSES = {408, 421, 429, 503}
BUDGET_MS = 400


class RepeatedRefusals:
    """Makes an upstream refuse one request of three and write an earlier refusal once more.

    The refusal is repeated before, in place of or after the response to a request that runs, whole
    or in two pieces, at once or late. It is one of the same connection, or with is_crossing one of
    any connection, repeated on a connection that carried a request before.
    """

    def __init__(self, upstream, status, names_request, is_crossing, generator):
        self.upstream = upstream
        self.status = status
        self.names_request = names_request
        self.is_crossing = is_crossing
        self.random = generator
        self.requests = 0
        self.refused = 0
        self.repeated = 0
        # The last refusal by connection, or the last one of all under None.
        self._refusals = {}
        upstream.override_response = self.respond

    def respond(self, request):
        self.requests += 1
        if self.requests % 3 == 0:
            return self.refuse(request)
        is_reused = request.connection.requests > 1
        copy = self._refusals.pop(self.key_of(request), None) if is_reused else None
        return None if copy is None else self.repeat(copy, request)

    def key_of(self, request):
        return None if self.is_crossing else request.connection

    def refuse(self, request):
        headers = {}
        if self.status != MISDIRECTED:
            headers[NOT_RUN] = "1"
        if self.names_request:
            headers[ATTEMPT] = request.header(ATTEMPT)
        refusal = Response(self.status, b"refused", headers)
        self.refused += 1
        self._refusals[self.key_of(request)] = refusal.to_bytes()
        if self.random.random() < 0.25:
            refusal.late = refusal.to_bytes()
            refusal.late_delay = self.random.choice([0.0, 0.002, 0.01])
        return refusal

    def repeat(self, copy, request):
        own = self.upstream.success_response(request).to_bytes()
        half = len(copy) // 2
        self.repeated += 1
        first, then = self.random.choice([
            (copy + own, b""), (copy[:half], copy[half:] + own), (copy, own), (b"", copy + own),
            (copy, b""), (copy[:half], copy[half:]), (b"", copy),
            (own + copy, b""), (own + copy[:half], copy[half:]), (own, copy)])
        return Response(raw=first, late=then, late_delay=self.random.choice([0.0, 0.002, 0.02]))


class Answer:
    """What a caller got for one request."""

    def __init__(self, attempt, path, status, named, body):
        self.attempt = attempt
        self.path = path
        self.status = status
        self.named = named
        self.body = body

    def is_right(self):
        """Returns whether a success is the response to this request."""
        return (self.status != 200 or self.named == self.attempt
                and f" POST {self.path} {self.attempt}".encode() in self.body)

    def __repr__(self):
        return f"{self.attempt}: {self.status} {self.body[:60]}"


class RefusalTest(PlatformCase):
    """Refusals of upstreams that are genuine, repeated or contradicted by what ran."""

    first_port = 31000

    def setUp(self):
        super().setUp()
        self.answers = []

    def post(self, node, kept=None):
        """Sends an unsafe request on a kept connection or on a new one, and records the answer."""
        attempt = self.fleet.next_attempt()
        path = f"/orders/{attempt}"
        connection = kept or http.client.HTTPConnection("127.0.0.1", node.caller_port, timeout=5)
        connection.request("POST", path, attempt, {
            "Host": "shop.example", ATTEMPT: attempt,
            "X-Boragetrack-Time-Budget-Ms": str(BUDGET_MS)})
        response = connection.getresponse()
        self.answers.append(Answer(attempt, path, response.status, response.getheader(ATTEMPT),
                                   response.read()))
        if kept is None:
            connection.close()

    def post_many(self, count, callers=2):
        """Sends unsafe requests through all nodes, by each caller on kept and new connections."""
        failures = []

        def call(node):
            kept = http.client.HTTPConnection("127.0.0.1", node.caller_port, timeout=5)
            try:
                for number in range(count):
                    self.post(node, kept if number % 2 else None)
            except (OSError, http.client.HTTPException) as error:
                failures.append(repr(error))
            finally:
                kept.close()

        threads = [threading.Thread(target=call, args=(node,))
                   for node in self.fleet.nodes for _ in range(callers)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(failures, [])

    def check_answers(self):
        """Checks all answers so far against what the upstreams have run by now."""
        runs = collections.Counter(
            attempt for upstream in self.upstreams("orders") for attempt in upstream.attempts())
        falsely_refused = [answer for answer in self.answers
                           if answer.status in NOT_RUN_STATUSES and runs[answer.attempt]]
        doubled = [attempt for attempt, count in runs.items() if count > 1]
        wrong = [answer for answer in self.answers if not answer.is_right()]
        found = (f"of {len(self.answers)}: {len(falsely_refused)} told not run though run, "
                 f"{len(doubled)} run twice, {len(wrong)} with another's response")
        self.assertEqual((falsely_refused, doubled, wrong), ([], [], []), found)

    def served(self):
        return sum(1 for answer in self.answers if answer.status == 200)

    # ---------------------------------------------------------------- repeated refusals

    def run_repeated_refusals(self, names_request, is_crossing):
        self.start_fleet()
        generator = random.Random(8)
        for status in (503, 429, MISDIRECTED):
            with self.subTest(status):
                self.answers = []
                faults = [RepeatedRefusals(upstream, status, names_request, is_crossing, generator)
                          for upstream in self.upstreams("orders")]
                self.post_many(10)
                time.sleep(BUDGET_MS / 1000)
                self.check_answers()
                self.assertGreater(sum(fault.refused for fault in faults), 0)
                self.assertGreater(self.served(), 0)
                if is_crossing:
                    self.assertGreater(sum(fault.repeated for fault in faults), 0)

    def test_believes_no_unnamed_refusal_that_its_connection_repeats(self):
        self.run_repeated_refusals(names_request=False, is_crossing=False)

    def test_believes_no_unnamed_refusal_that_another_connection_repeats(self):
        self.run_repeated_refusals(names_request=False, is_crossing=True)

    def test_believes_no_named_refusal_that_its_connection_repeats(self):
        self.run_repeated_refusals(names_request=True, is_crossing=False)

    def test_believes_no_named_refusal_that_another_connection_repeats(self):
        self.run_repeated_refusals(names_request=True, is_crossing=True)

    def test_believes_no_refusal_of_the_previous_try_of_the_same_attempt(self):
        for node in self.fleet.nodes:
            node.extra_settings = {"repeats": {"windowSeconds": 10, "reserve": 500}}
        self.start_fleet([rule("items", "/items/", service="items"),
                          rule("orders", "/orders/", kind="unsafe", service="orders", attempts=4)])
        for is_crossing in (False, True):
            self.answers = []
            tried_again = []
            for upstream in self.upstreams("orders"):
                upstream.override_response = self.refuse_once(upstream, is_crossing, tried_again)
            with self.subTest(is_crossing=is_crossing):
                self.post_many(4, callers=2 if is_crossing else 1)
                self.check_answers()
                self.assertGreater(len(tried_again), 0)
                self.assertGreater(self.served(), 0)

    def refuse_once(self, upstream, is_crossing, tried_again):
        """Returns a handler that refuses each attempt once and repeats this when it comes again.

        With is_crossing it repeats it on any connection that carried a request before.
        """
        refusals = {}

        def respond(request):
            attempt = request.header(ATTEMPT)
            if attempt not in refusals:
                refusal = Response(503, headers={NOT_RUN: "1", ATTEMPT: attempt})
                refusals[attempt] = (request.connection, refusal.to_bytes())
                return refusal
            tried_again.append(attempt)
            connection, copy = refusals[attempt]
            own = upstream.success_response(request).to_bytes()
            repeats = (request.connection.requests > 1 if is_crossing
                       else request.connection is connection)
            return Response(raw=copy + own if repeats else own)

        return respond

    # ---------------------------------------------------------------- other responses

    def test_reports_no_request_that_ran_with_a_status_that_denies_it(self):
        self.start_fleet()
        for status in sorted(NOT_RUN_STATUSES - {MISDIRECTED}):
            for upstream in self.upstreams("orders"):
                upstream.override_response = lambda request, s=status: Response(
                    s, b"ran", {ATTEMPT: request.header(ATTEMPT), STAMP: "s"})
            self.answers = []
            with self.subTest(status):
                for node in self.fleet.nodes:
                    self.post(node)
                self.check_answers()

    def test_takes_no_interim_response_for_the_response(self):
        self.start_fleet()
        for headers in ({}, {ATTEMPT: ""}, {NOT_RUN: "1"}, {NOT_RUN: "1", ATTEMPT: ""}):
            for upstream in self.upstreams("orders"):
                def respond(request, upstream=upstream, headers=headers):
                    interim = "HTTP/1.1 103 Early Hints\r\n"
                    for name, value in headers.items():
                        interim += f"{name}: {value or request.header(ATTEMPT)}\r\n"
                    own = upstream.success_response(request).to_bytes()
                    return Response(raw=interim.encode() + b"\r\n", late=own, late_delay=0.02)
                upstream.override_response = respond
            self.answers = []
            with self.subTest(headers):
                for node in self.fleet.nodes:
                    self.post(node)
                self.check_answers()
                self.assertEqual({answer.status for answer in self.answers}, {200})

    # ---------------------------------------------------------------- genuine refusals

    def test_retries_a_refused_request_at_another_upstream(self):
        self.start_fleet()
        refusing = self.upstreams("orders")[0]
        refused = []

        def refuse_some(request):
            if len(refused) % 3:
                refused.append(None)
                return None
            refused.append(request.header(ATTEMPT))
            return Response(503, headers={NOT_RUN: "1", ATTEMPT: refused[-1]})

        refusing.override_response = refuse_some
        for _ in range(6):
            for node in self.fleet.nodes:
                self.post(node)
        self.check_answers()
        self.assertGreater(len([attempt for attempt in refused if attempt]), 0)
        self.assertEqual({answer.status for answer in self.answers}, {200}, self.answers)


if __name__ == "__main__":
    unittest.main()
