"""What became of a request on a kept connection."""


class KeptOutcome:
    """Times are monotonic, in seconds."""

    def __init__(self, node, path, sent_at, answered_at, response):
        self.node = node
        self.path = path
        self.sent_at = sent_at
        self.answered_at = answered_at
        self.status = response.status
        self.body = response.body
        self.is_closing = response.headers.get("Connection") == "close"

    def instance(self):
        """Returns the instance that ran the request, or None without a success."""
        return self.body.decode().split(" ")[0] if self.status == 200 else None

    def __repr__(self):
        return f"{self.path} at {self.node.name}: {self.status} {self.body[:60]!r}"
