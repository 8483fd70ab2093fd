"""Tests that followers take no broken response of the store for the records that it holds."""

import json
import time
import unittest

from asyncserver import Response
from platform_case import RULES, SERVICES
from platform_fleet import configuration, rule
from response_case import ResponseCase


def listing(body, status=b"200 OK", lines=b""):
    """Returns a listing of the store with a body (an object), and with lines added to its head."""
    text = json.dumps(body).encode()
    return b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s" % (status, lines, len(text), text)


def is_evacuation(item):
    return item["key"].startswith("op/evacuate/")


def without_evacuations(body):
    return {**body, "items": [item for item in body["items"] if not is_evacuation(item)]}


def with_broken_evacuations(body, **changes):
    """Returns a listing whose evacuations have other fields; a field that is None is missing."""
    def broken(item):
        return {name: value for name, value in {**item, **changes}.items() if value is not None}

    return {**body, "items": [broken(item) if is_evacuation(item) else item
                              for item in body["items"]]}


# Listings that a follower must not take for the records of the store, made of sound ones.
BROKEN_LISTINGS = {
    "status": lambda body: listing(without_evacuations(body), b"000 OK"),
    "field name": lambda body: listing(without_evacuations(body), lines=b"X Name: 1\r\n"),
    "blank before a colon": lambda body: listing(without_evacuations(body),
                                                 lines=b"X-Name : 1\r\n"),
    "interim response": lambda body: b"HTTP/1.1 103 Early\r\nX Name: 1\r\n\r\n"
    + listing(without_evacuations(body)),
    "no end": lambda body: listing({name: value for name, value in without_evacuations(body).items()
                                    if name != "truncated"}),
    "no revision": lambda body: listing({"items": [], "truncated": False}),
    "no items": lambda body: listing({"truncated": False, "currentRev": body["currentRev"]}),
    "item without a key": lambda body: listing(with_broken_evacuations(body, key=None)),
    "item without a revision": lambda body: listing(with_broken_evacuations(body, revision=None)),
    "item of another type": lambda body: listing(with_broken_evacuations(body, key=7)),
}


class BrokenListingTest(ResponseCase):
    """Listings that are malformed, or lack a part of what a listing has."""

    first_port = 23800

    def test_takes_no_broken_listing_for_the_records(self):
        self.start_fleet()
        self.store.put("op/evacuate/ikeja", {})
        evacuated = self.upstreams_in("ikeja")
        self.fleet.wait_until(lambda: self.receives_no_calls(evacuated), "the evacuation holds")
        listings = []

        def replace(request, response, name):
            if request.path == "/api/kv-watch":
                # Followers read all records again after it.
                return Response(410, b'{"error":"compacted"}')
            if request.path != "/api/kv-range" or "staleOk" in request.query:
                return response
            listings.append(name)
            return Response(raw=BROKEN_LISTINGS[name](json.loads(response.body)))

        sound = self.store.replace_response
        for name in BROKEN_LISTINGS:
            with self.subTest(name):
                self.store.replace_response = lambda request, response, n=name: replace(
                    request, response, n)
                # Ends the watches of the followers.
                self.store.put("op/evacuate/none", {"listing": name})
                self.fleet.wait_until(lambda n=name: listings.count(n) >= 2, "followers listed")
                for _ in range(3):
                    time.sleep(0.1)
                    self.assertTrue(self.receives_no_calls(evacuated))
                self.store.replace_response = sound
                self.check_change_is_in_force(evacuated)

    def check_change_is_in_force(self, evacuated):
        """Checks that a change behind broken listings is in force, and the evacuation as well."""
        prefix = f"/{self.fleet.next_attempt()}/"
        self.store.put("op/config", configuration(
            self.store.revision + 5, [*RULES, rule("new", prefix, service="items")], SERVICES))
        for node in self.fleet.nodes:
            self.fleet.wait_until(lambda n=node: n.call(path=prefix).status == 200,
                                  "the change is in force")
        self.assertTrue(self.receives_no_calls(evacuated))


if __name__ == "__main__":
    unittest.main()
