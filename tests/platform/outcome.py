"""What a caller observed of one request."""

import time

# The tests' own error of measuring a deadline, in s.
TOLERANCE = 0.05
# Statuses that leave open whether the request ran.
UNKNOWN = (502, 504)


class Outcome:
    """The end of one request; times are monotonic and in seconds.

    The status is None if the connection ended without a response; fault says how.
    """

    def __init__(self, node, attempt, target, sent_at, budget, status, fault=""):
        self.node = node
        self.attempt = attempt
        self.target = target
        self.sent_at = sent_at
        self.ended_at = time.monotonic()
        self.budget = budget
        self.status = status
        self.fault = fault

    def is_early(self):
        """Returns whether the caller's time had clearly not passed at the end."""
        return self.ended_at < self.sent_at + self.budget - TOLERANCE

    def __str__(self):
        return (f"{self.attempt} {self.target} at {self.node.name}: {self.status} {self.fault} "
                f"after {(self.ended_at - self.sent_at) * 1000:.0f} of {self.budget * 1000:.0f} ms")
