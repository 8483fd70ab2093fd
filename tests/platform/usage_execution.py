"""A call to the usage interface."""


class UsageExecution:
    """Has the time of its execution (monotonic, in s) and its status once it was executed."""

    def __init__(self, window, counts, holder, token):
        self.window = window
        self.counts = counts
        self.holder = holder
        self.token = token
        self.at = None
        self.status = None

    def __repr__(self):
        return (f"window {self.window} by {self.holder} with token {self.token}: {self.status}, "
                f"{self.counts}")
