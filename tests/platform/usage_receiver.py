"""A stand-in for the platform's usage interface: fencing tokens, a rate limit and faults."""

import asyncio
import json
import time

from asyncserver import AsyncServer, Response
from usage_execution import UsageExecution


class UsageReceiver(AsyncServer):
    """Executes each call in the order of its arrival, or of the end of its delay.

    A call with a lower token than the highest one that was executed is refused.
    """

    def __init__(self, event_loop, port, calls_per_second=50):
        super().__init__(event_loop, port)
        self.calls_per_second = calls_per_second
        self.highest_token = 0
        # All executed calls, refused ones too.
        self.executions = []
        self.arrivals = []
        # Returns what happens to a call: None for the usual, "out" for 503, "silent" for neither an
        # execution nor a response, "lost" for an execution without a response, or a number for
        # an execution after so many seconds without a response.
        self.fault_of = lambda call: None

    # ------------------------------------------------------------------ observation by tests

    def accepted(self):
        """Returns the accepted calls in the order of their execution."""
        return [e for e in list(self.executions) if e.status == 200]

    def reports(self):
        """Returns the accepted counts by window: the last ones of each."""
        return {e.window: e.counts for e in self.accepted()}

    def conflicts(self):
        """Returns the windows of which reports with different counts were accepted."""
        first = {}
        return sorted({e.window for e in self.accepted()
                       if first.setdefault(e.window, e.counts) != e.counts})

    def holders_of_tokens(self):
        """Returns the holders that sent each token, by token."""
        holders = {}
        for execution in list(self.executions):
            holders.setdefault(execution.token, set()).add(execution.holder)
        return holders

    def alternations(self, lease=3.0):
        """Returns the holders that sent before and after another one within a lease (s)."""
        calls = list(self.executions)
        found = []
        for index, last in enumerate(calls):
            between = [c for c in calls[:index] if last.at - c.at < lease]
            holders = [c.holder for c in between] + [last.holder]
            first = holders.index(last.holder)
            if any(holder != last.holder for holder in holders[first:]):
                found.append(last)
        return found

    # ------------------------------------------------------------------ protocol

    async def handle(self, request):
        if request.method != "POST" or request.path != "/usage":
            return Response(404)
        body = json.loads(request.body)
        call = UsageExecution(body["windowId"], body["counts"],
                              request.header("X-Boragetrack-Duty-Holder"),
                              int(request.header("X-Boragetrack-Fence-Token")))
        self.arrivals.append(call)
        fault = self.fault_of(call)
        if fault == "silent":
            await asyncio.sleep(3600)
        if fault == "out":
            return Response(503)
        if fault == "lost":
            self.execute(call)
            return None
        if fault is not None:
            self.event_loop.loop.call_later(fault, self.execute, call)
            return None
        return Response(self.execute(call))

    def execute(self, call):
        """Executes a call now. Returns the status."""
        call.at = time.monotonic()
        recent = [e for e in self.executions if call.at - e.at < 1.0]
        if len(recent) >= self.calls_per_second:
            call.status = 429
        elif call.token < self.highest_token:
            call.status = 409
        else:
            self.highest_token = call.token
            call.status = 200
        self.executions.append(call)
        return call.status
