"""Tests that a response which is not sound never reaches a caller, and that unusual ones do."""

import gzip
import unittest

from asyncserver import Response
from response_case import ResponseCase
from upstream import ATTEMPT, STAMP

CONTENT = b"the whole content"
OTHER_CONTENT = b"the other content"
LENGTH = b"Content-Length: %d\r\n" % len(CONTENT)
CHUNKED = b"Transfer-Encoding: chunked\r\n"
# Service and method of a call that may run again, and of one that may not.
CALLS = (("items", "GET"), ("orders", "POST"))
# More than the system takes from a node while its upstream doesn't read.
UPLOAD_BYTES = 7_900_000
UNDEFINED_STATUSES = ("000", "001", "099", "600", "999")
# Lines of a head whose field has no token for a name.
MALFORMED_LINES = [
    b"X Name: 1", b"X-Name : 1", b"X-Name\t: 1", b"Content-Length : 5", b"Content Length: 5",
    b"Transfer-Encoding : chunked", b"Transfer-Encoding\x0b: chunked", b"X-Name", b": 1",
    b"X-(Name): 1", *(b"X-Na%cme: 1" % byte for byte in (0, 1, 8, 11, 13, 27, 31, 127, 233)),
]
# A head with such a line as its first or last, and an interim response with it before the head.
MALFORMED_HEADS = {
    "first": lambda head, line: head.replace(b"OK\r\n", b"OK\r\n" + line + b"\r\n", 1),
    "last": lambda head, line: head[:-2] + line + b"\r\n\r\n",
    "interim": lambda head, line: b"HTTP/1.1 103 Early Hints\r\n" + line + b"\r\n\r\n" + head,
}

# What a response may have in place of the stamp.
FIELDS_FOR_A_STAMP = {"none": "", "empty": f"{STAMP}:\r\n", "other": f"X-{STAMP}: s.1\r\n"}


def head_of(request, status=b"200 OK", version=b"1.1", framing=b""):
    """Returns the head of a response to a request, with or without a field that frames its body."""
    return (b"HTTP/" + version + b" " + status + b"\r\n"
            + f"{ATTEMPT}: {request.header(ATTEMPT)}\r\n{STAMP}: s.1\r\n".encode() + framing
            + b"\r\n")


class BrokenResponseTest(ResponseCase):
    """Upstreams whose responses are malformed, ambiguous or reset."""

    first_port = 23000

    def assert_all(self, results, expected):
        self.assertEqual([result for result in results if result[1:] != expected], [])

    def assert_statuses(self, results, status):
        self.assertEqual([result for result in results if result[1] != status], [])

    # ---------------------------------------------------------------- status

    def test_delivers_no_response_with_an_undefined_status(self):
        self.start_fleet()

        def respond(request):
            _, _, status, version, framing = request.path.split("/")
            head = head_of(request, status.encode() + b" Status", version.encode(),
                           LENGTH if framing == "length" else b"")
            return Response(raw=head + CONTENT, ending=None if framing == "length" else "close")

        self.respond(respond)
        calls = [(method, f"/{service}/{status}/{version}/{framing}")
                 for service, method in CALLS for status in UNDEFINED_STATUSES
                 for version in ("1.1", "1.0") for framing in ("length", "end")]
        self.assert_statuses(self.call_each(calls), 502)

    def test_delivers_no_response_with_an_undefined_status_after_an_interim_one(self):
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
                 for status in UNDEFINED_STATUSES for position in ("interim", "final")]
        self.assert_statuses(self.call_each(calls), 502)

    def test_delivers_statuses_of_every_class(self):
        self.start_fleet()
        self.respond(lambda request: Response(raw=head_of(
            request, request.path.split("/")[2].encode() + b" ", framing=LENGTH) + CONTENT))
        for status in (200, 203, 299, 300, 399, 400, 451, 499, 500, 599):
            calls = [(method, f"/{service}/{status}") for service, method in CALLS]
            self.assert_all(self.call_each(calls), (status, CONTENT))

    # ---------------------------------------------------------------- heads

    def test_delivers_no_success_without_a_stamp(self):
        self.start_fleet()

        def respond(request):
            _, _, status, field = request.path.split("/")
            fields = f"{ATTEMPT}: {request.header(ATTEMPT)}\r\n{FIELDS_FOR_A_STAMP[field]}".encode()
            return Response(raw=b"HTTP/1.1 " + status.encode() + b" Status\r\n" + fields + LENGTH
                            + b"\r\n" + CONTENT)

        self.respond(respond)
        for status, expected in (("200", 502), ("202", 502), ("299", 502), ("404", 404),
                                 ("500", 500)):
            calls = [(method, f"/{service}/{status}/{field}") for service, method in CALLS
                     for field in FIELDS_FOR_A_STAMP]
            self.assert_statuses(self.call_each(calls), expected)

    def test_delivers_no_response_with_a_malformed_field_name(self):
        self.start_fleet()
        broken_attempts = []

        def respond(request):
            attempt = request.header(ATTEMPT)
            if request.path.split("/")[2] == "second" and request.connection.requests == 1:
                return Response(raw=head_of(request, framing=LENGTH) + OTHER_CONTENT)
            broken_attempts.append(attempt)
            _, _, _, line, position, piece_bytes = request.path.split("/")
            whole = MALFORMED_HEADS[position](head_of(request, framing=LENGTH),
                                              MALFORMED_LINES[int(line)])
            return Response(raw=whole + CONTENT, piece_bytes=int(piece_bytes), pause=0.0002)

        self.respond(respond)
        for form in ("first", "second"):
            calls = [(method, f"/{service}/{form}/{line}/{position}/{piece_bytes}")
                     for service, method in CALLS for line in range(len(MALFORMED_LINES))
                     for position in MALFORMED_HEADS for piece_bytes in (0, 9)]
            results = [(call, response.status, response.body) for call, attempt, response in (
                self.call_node(index, call) for index, call in enumerate(calls))
                if attempt in broken_attempts]
            self.assertGreater(len(results), len(calls) // 4, form)
            # A call that may run again may have got the sound response of another connection.
            self.assertEqual([result for result in results if result[1] != 502
                              and result[1:] != (200, OTHER_CONTENT)], [], form)

    def call_node(self, index, call):
        """Makes a call with the id of a nested one. Returns the call, its id and the response."""
        attempt = self.fleet.next_attempt() + ".1"
        response = self.fleet.nodes[index % len(self.fleet.nodes)].call(*call, attempt=attempt)
        return call, attempt, response

    def test_delivers_sound_responses_of_unusual_form(self):
        forms = {
            "no reason": lambda request: head_of(request, b"200 ", framing=LENGTH) + CONTENT,
            "chunk extensions": lambda request: head_of(request, framing=CHUNKED)
            + b"3;a=b\r\n" + CONTENT[:3] + b'\r\nE;c="d e"\r\n' + CONTENT[3:]
            + b"\r\n0;f\r\n\r\n",
            "trailer": lambda request: head_of(request, framing=CHUNKED) + b"011\r\n" + CONTENT
            + b"\r\n0\r\nX-Sum: 1\r\n\r\n",
            "interim": lambda request: b"HTTP/1.1 102 Processing\r\n\r\n"
            b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
            + head_of(request, framing=LENGTH) + CONTENT,
            "no length": lambda request: head_of(request) + CONTENT,
            "old version": lambda request: head_of(request, version=b"1.0") + CONTENT,
            "lower case": lambda request: head_of(request, framing=LENGTH.lower()) + CONTENT,
        }
        self.start_fleet()
        self.respond(lambda request: Response(
            raw=forms[request.path.split("/")[2].replace("-", " ")](request), ending="half",
            piece_bytes=int(request.path.split("/")[3]), pause=0.0005))
        calls = [(method, f"/{service}/{form.replace(' ', '-')}/{piece_bytes}")
                 for service, method in CALLS for form in forms for piece_bytes in (0, 1)]
        self.assert_all(self.call_each(calls), (200, CONTENT))

    def test_delivers_no_body_in_an_unknown_transfer_coding(self):
        self.start_fleet()
        codings = (b"gzip, chunked", b"gzip\r\nTransfer-Encoding: chunked", b"chunked, gzip",
                   b"gzip")
        coded = gzip.compress(CONTENT)
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(coded), coded)
        self.respond(lambda request: Response(raw=head_of(
            request, framing=b"Transfer-Encoding: %s\r\n" % codings[int(request.path[-1])]) + body,
            ending="close"))
        calls = [(method, f"/{service}/{index}") for service, method in CALLS
                 for index in range(len(codings))]
        self.assert_statuses(self.call_each(calls), 502)

    # ---------------------------------------------------------------- resets

    def respond_early(self, make_response):
        """Makes all upstreams respond to calls, not to probes, before they read the body."""
        def respond(upstream, request):
            if request.path == "/health":
                return None
            upstream.record_run(request)
            return make_response(request)

        for node in self.fleet.nodes:
            node.upstream.early_response = (
                lambda request, upstream=node.upstream: respond(upstream, request))

    def test_delivers_a_whole_response_that_a_reset_follows(self):
        self.start_fleet()
        chunks = b"11\r\n" + CONTENT + b"\r\n0\r\n\r\n"
        framed = {"length": (LENGTH, CONTENT), "chunks": (CHUNKED, chunks)}

        def respond(request):
            framing, body = framed[request.path.split("/")[2]]
            return Response(raw=head_of(request, framing=framing) + body, ending="reset")

        self.respond_early(respond)
        calls = [(method, f"/{service}/{name}") for service, method in CALLS for name in framed]
        self.assert_all(self.call_each(calls * 8), (200, CONTENT))

    # ---------------------------------------------------------------- unfinished uploads

    def start_fleet_for_uploads(self):
        """Starts a fleet that takes long uploads, whose upstreams have small receive buffers."""
        for node in self.fleet.nodes:
            node.upstream_options = {"receive_buffer": 16 * 1024}
        self.start_fleet(limits={"maxHeaderBytes": 16384, "maxBodyBytes": 8_000_000,
                                 "headerTimeoutS": 5, "idleTimeoutS": 15})

    def upload_each(self, count, form):
        """Makes calls whose path names the form of the response, one after another."""
        upload = b"u" * UPLOAD_BYTES
        calls = [("POST", f"/orders/{form}/{number}", upload) for number in range(count)]
        return self.call_each(calls, parallel=1)

    def test_delivers_no_response_that_was_reset_beside_an_upload(self):
        self.start_fleet_for_uploads()
        self.respond_early(lambda request: Response(
            raw=head_of(request, version=request.path.split("/")[2].encode()) + CONTENT[:5],
            ending="reset"))
        for version in ("1.1", "1.0"):
            self.assert_statuses(self.upload_each(16, version), 502)

    def test_delivers_a_response_that_ends_in_order_beside_an_upload(self):
        self.start_fleet_for_uploads()
        self.respond_early(lambda request: Response(
            raw=head_of(request, version=request.path.split("/")[2].encode()) + CONTENT,
            ending="half"))
        for version in ("1.1", "1.0"):
            self.assert_all(self.upload_each(4, version), (200, CONTENT))

    def test_delivers_a_response_of_known_length_beside_an_upload(self):
        chunks = b"11;note=x\r\n" + CONTENT + b"\r\n0\r\n\r\n"
        framed = {"length": (LENGTH, CONTENT), "chunks": (CHUNKED, chunks)}

        def respond(request):
            framing, body = framed[request.path.split("/")[2]]
            return Response(raw=head_of(request, framing=framing) + body, pause=1.0)

        self.start_fleet_for_uploads()
        self.respond_early(respond)
        for name in framed:
            self.assert_all(self.upload_each(4, name), (200, CONTENT))


if __name__ == "__main__":
    unittest.main()
