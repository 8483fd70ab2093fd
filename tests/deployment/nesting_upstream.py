"""A server that makes calls of its own through the node beside it."""

import asyncio
import random

from asyncserver import Response
from call_kind import CallKind
from deployment_site import KINDS, NESTED_SHARE
from request_client import RequestClient
from upstream import ATTEMPT, STAMP, Upstream

KIND_BY_PREFIX = {kind.prefix: kind for kind in KINDS}
IDLE_KIND = CallKind("", "GET", "", 0.0, 0.005, 1.0)


class NestingUpstream(Upstream):
    """Works as long as a request's kind says. Calls fail with the response that they got."""

    def __init__(self, event_loop, node, outcomes, ports, service):
        super().__init__(event_loop, ports["upstream"], ports["announcements"], service,
                         instance=f"{service}.{node}.{random.randrange(16**6):06x}")
        self.slots = 12
        self._node = node
        self._caller_port = ports["callers"]
        self._client = RequestClient(outcomes)

    async def handle(self, request):
        response = await super().handle(request)
        if response is None or response.status != 200 or request.path == "/health":
            return response
        kind = KIND_BY_PREFIX.get(f"/{request.path.split('/')[1]}/", IDLE_KIND)
        if kind.nested and random.random() < NESTED_SHARE:
            if not await self._call(kind, request.header(ATTEMPT)):
                return Response(500, b"a call failed", {
                    ATTEMPT: request.header(ATTEMPT), STAMP: f"s.{self.instance}"})
        return response

    async def _call(self, kind, parent):
        nested = KIND_BY_PREFIX[kind.nested]
        calls = [self._client.send(self._node, self._caller_port, nested.method, nested.prefix, b"",
                                   nested.deadline, parent=parent)
                 for _ in range(kind.nested_count)]
        if kind.nested_together:
            results = await asyncio.gather(*calls)
        else:
            results = [await call for call in calls]
        for _, is_kept, connection in results:
            if is_kept:
                connection[1].close()
        return all(status == 200 for status, _, _ in results)

    def record_run(self, request):
        """Keeps no record of each run: there are too many in a long play."""
        record = super().record_run(request)
        self.records.clear()
        self.runs.clear()
        return record
