"""What an upstream stand-in knows of one run of a request."""


class RunRecord:
    """Times are monotonic and in seconds; finished_at and cancelled_at are None until then."""

    def __init__(self, attempt, started_at):
        self.attempt = attempt
        self.started_at = started_at
        self.finished_at = None
        self.cancelled_at = None

    def describe(self, sent_at):
        """Returns the times in ms since the request was sent, as text."""
        text = f"ran from {(self.started_at - sent_at) * 1000:.0f}"
        for name, at in (("finished", self.finished_at), ("cancelled", self.cancelled_at)):
            if at is not None:
                text += f", {name} at {(at - sent_at) * 1000:.0f}"
        return text + " ms"
