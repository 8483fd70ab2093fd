"""Tests that a response which is not sound never reaches a caller, and that unusual ones do."""

import unittest

from asyncserver import Response
from response_case import ResponseCase
from upstream import ATTEMPT, STAMP

CONTENT = b"the whole content"
LENGTH = b"Content-Length: %d\r\n" % len(CONTENT)
NEW_LINE = b"\r\n"
UNSOUND_STATUSES = ("000", "001", "099", "600", "999")
# Service and method of a call that may run again, and of one that may not.
CALLS = (("items", "GET"), ("orders", "POST"))


def head_of(request, status=b"200 OK", version=b"1.1", framing=b""):
    """Returns the head of a response to a request, with or without a field that frames its body."""
    return (b"HTTP/" + version + b" " + status + NEW_LINE
            + f"{ATTEMPT}: {request.header(ATTEMPT)}\r\n{STAMP}: s.1\r\n".encode() + framing
            + NEW_LINE)


class BrokenResponseTest(ResponseCase):
    """Upstreams whose responses are malformed, ambiguous or reset."""

    first_port = 33000

    def assert_all(self, results, expected):
        self.assertEqual([result for result in results if result[1:] != expected], [])

    def assert_statuses(self, results, status):
        self.assertEqual([result for result in results if result[1] != status], [])

    # ---------------------------------------------------------------- status

    def test_delivers_no_response_with_an_invalid_status(self):
        self.start_fleet()

        def respond(request):
            _, _, status, version, framing = request.path.split("/")
            head = head_of(request, status.encode() + b" Status", version.encode(),
                           LENGTH if framing == "length" else b"")
            return Response(raw=head + CONTENT, ending=None if framing == "length" else "close")

        self.respond(respond)
        calls = [(method, f"/{service}/{status}/{version}/{framing}")
                 for service, method in CALLS for status in UNSOUND_STATUSES
                 for version in ("1.1", "1.0") for framing in ("length", "end")]
        self.assert_statuses(self.call_each(calls), 502)

    def test_delivers_no_response_with_an_invalid_status_after_an_interim_one(self):
        self.start_fleet()
        early = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

        def respond(request):
            _, _, status, position = request.path.split("/")
            if position == "interim":
                return Response(raw=b"HTTP/1.1 " + status.encode() + b" Status\r\n\r\n"
                                + head_of(request, framing=LENGTH) + CONTENT)
            return Response(raw=early + head_of(request, status.encode() + b" Status",
                                                framing=LENGTH) + CONTENT)

        self.respond(respond)
        calls = [(method, f"/{service}/{status}/{position}") for service, method in CALLS
                 for status in UNSOUND_STATUSES for position in ("interim", "final")]
        self.assert_statuses(self.call_each(calls), 502)

    def test_delivers_statuses_of_every_class(self):
        self.start_fleet()
        self.respond(lambda request: Response(raw=head_of(
            request, request.path.split("/")[2].encode() + b" ", framing=LENGTH) + CONTENT))
        for status in (200, 203, 299, 300, 399, 400, 451, 499, 500, 599):
            calls = [(method, f"/{service}/{status}") for service, method in CALLS]
            self.assert_all(self.call_each(calls), (status, CONTENT))


if __name__ == "__main__":
    unittest.main()
