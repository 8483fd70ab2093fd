"""A stand-in for the platform's store: revisions, transactions, leases, watches and faults."""

import asyncio
import base64
import itertools
import json
import time
from urllib.parse import unquote

from asyncserver import Response, AsyncServer


class Store(AsyncServer):
    """Holds records in memory and implements the store's published protocol."""

    def __init__(self, event_loop, port):
        super().__init__(event_loop, port)
        self.revision = 1
        self.items = {}
        self.history = []
        self._written_at = []  # when each entry of the history was written (monotonic)
        self.compacted_revision = 0
        self.leases = {}  # the lifetime of each lease after a renewal, in seconds
        self._lease_numbers = itertools.count(1000)
        self._expiries = {}  # the timer of each lease
        self.calls = 0
        self.changed = asyncio.Condition()
        # Faults: "out" responds with 503, "silent" never responds, also to calls in progress, "lost"
        # applies writes without a response.
        self.fault = None
        self._lost_calls = 0  # the calls up to this number get no response
        self.delay = 0.0  # before each call is done, in seconds
        self.response_delay = 0.0  # from when a call is done to its response, in seconds
        self.staleness = 0.0  # the age of what reads with "staleOk" return, in seconds
        self.era = None  # the value of the header "Store-Era"; None sends none
        # How far the items of listings and the events of watches lag behind the revision (s), and
        # whether the revision that a late watch names lags with its events.
        self.listing_lag = 0.0
        self.watch_lag = 0.0
        self.is_watch_revision_late = True
        # How long watches lack the last event of a key that later events overtake, and the key.
        self.overtaken_lag = 0.0
        self.overtaken_key = ""
        # Returns the response to send in place of the given one.
        self.replace_response = lambda request, response: response

    # ------------------------------------------------------------------ control by tests

    def put(self, key, value):
        """Writes a value (bytes, or an object as JSON) without conditions. Returns its revision."""
        return self.event_loop.run(self._put(key, value))

    def put_all(self, values):
        """Writes the values of several keys before any watch is served. Returns the last
        revision."""
        return self.event_loop.run(self._put_all(values))

    def remove(self, key):
        return self.event_loop.run(self._remove_all([key]))

    def value(self, key):
        """Returns the value of a key, parsed as JSON, or None without a record."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    def compact_history(self):
        self.compacted_revision = self.revision

    def forget_history(self):
        """Loses all events, and responds to watches as if there had been none."""
        self.history.clear()
        self._written_at.clear()

    def lose_calls_in_progress(self):
        """Never responds to the calls that are in progress, waiting watches among them."""
        self._lost_calls = self.calls

    def come_back_from_copy(self, age, away):
        """Ends the server's connections, refuses others for some time, and comes back as it was:
        all later writes are gone, as are all leases and their records. Parameters in seconds."""
        items, revision = self.event_loop.call(self.copy_of, age)
        self.stop()
        time.sleep(away)
        self.event_loop.run(self._restore(items, revision))
        self.start()

    def expire_leases(self):
        """Expires all leases and removes their records, as an outage may do."""
        self.event_loop.run(self._expire_leases(list(self.leases)))

    # ------------------------------------------------------------------ protocol

    async def handle(self, request):
        self.calls += 1
        number = self.calls
        response = await self.respond(request)
        if self.response_delay:
            await asyncio.sleep(self.response_delay)
        if self.fault == "silent" or number <= self._lost_calls:
            await asyncio.sleep(3600)
        if self.era is not None:
            response.headers["Store-Era"] = str(self.era)
        return self.replace_response(request, response)

    async def respond(self, request):
        if self.delay:
            await asyncio.sleep(self.delay)
        if self.fault == "silent":
            await asyncio.sleep(3600)
        if self.fault == "out":
            return self.json_response(503, {"error": "out"})
        path = request.path
        if path == "/api/kv-range":
            return self.range(request)
        if path == "/api/kv-watch":
            return await self.watch(request)
        if path == "/api/kv-txn":
            return await self.transact(json.loads(request.body))
        if path == "/api/kv-lease":
            return self.grant_lease(json.loads(request.body))
        if path.startswith("/api/kv-keep/"):
            return self.renew_lease(int(path.rsplit("/", 1)[1]))
        return self.json_response(404, {})

    @staticmethod
    def json_response(status, body):
        return Response(status, json.dumps(body).encode(), {"Content-Type": "application/json"})

    def copy_of(self, age):
        """Returns the items and the revision as they were, the age in seconds."""
        until = time.monotonic() - age
        past = [e for e, at in zip(self.history, self._written_at) if at <= until]
        items = {}
        for event in past:
            items[event["key"]] = event
        return ({k: e for k, e in items.items() if not e.get("deleted")},
                past[-1]["revision"] if past else 1)

    def range(self, request):
        prefix = unquote(request.query.get("prefix", ""))
        after = unquote(request.query.get("after", ""))
        is_stale = request.query.get("staleOk") == "1" and self.staleness > 0
        items, revision = (self.copy_of(self.staleness) if is_stale
                           else (self.items, self.revision))
        if self.listing_lag:
            items = self.copy_of(self.listing_lag)[0]
        keys = sorted(k for k in items if k.startswith(prefix) and k > after)
        page = []
        size = 0
        for key in keys[:50]:
            size += len(items[key]["value"])
            if page and size > 1_000_000:
                break
            page.append(items[key])
        return self.json_response(
            200, {"items": page, "truncated": len(page) < len(keys), "currentRev": revision}
        )

    async def watch(self, request):
        prefix = unquote(request.query.get("prefix", ""))
        after = int(request.query["after"])
        if after < self.compacted_revision or after > self.revision:
            return self.json_response(410, {"error": "compacted"})
        timeout = int(request.query.get("waitMs", "0")) / 1000
        matching_events = lambda: [
            e for e, at in zip(self.history, self._written_at)
            if e["revision"] > after and e["key"].startswith(prefix)
            and (e["key"] != self.overtaken_key or time.monotonic() - at >= self.overtaken_lag)
        ]
        try:
            async with self.changed:
                await asyncio.wait_for(self.changed.wait_for(matching_events), timeout)
        except asyncio.TimeoutError:
            pass
        if not self.watch_lag:
            return self.json_response(200, {"events": matching_events(),
                                            "currentRev": self.revision})
        await asyncio.sleep(self.watch_lag)
        visible = self.copy_of(self.watch_lag)[1]
        events = [e for e in matching_events() if e["revision"] <= visible]
        named = visible if self.is_watch_revision_late else self.revision
        return self.json_response(200, {"events": events, "currentRev": named})

    async def transact(self, body):
        for condition in body["expectedRev"]:
            item = self.items.get(condition["key"])
            if (item["revision"] if item else 0) != condition["revision"]:
                rows = [self.items[c["key"]] for c in body["expectedRev"] if c["key"] in self.items]
                return self.json_response(412, {"items": rows})
        for write in body["writes"]:
            if write.get("lease", 0) and write["lease"] not in self.leases:
                return self.json_response(404, {})
        for write in body["writes"]:
            await self._set(write["key"], write["value"], write.get("lease", 0))
        if self.fault == "lost":
            await asyncio.sleep(3600)
        return self.json_response(200, {"revision": self.revision})

    def grant_lease(self, body):
        lease = next(self._lease_numbers)
        self.leases[lease] = body["ttlS"]
        self._schedule_expiry(lease)
        return self.json_response(200, {"lease": lease, "ttlS": body["ttlS"]})

    def renew_lease(self, lease):
        if lease not in self.leases:
            return self.json_response(404, {})
        self._schedule_expiry(lease)
        return self.json_response(200, {"ttlS": self.leases[lease]})

    def _schedule_expiry(self, lease):
        if lease in self._expiries:
            self._expiries[lease].cancel()
        self._expiries[lease] = self.event_loop.loop.call_later(
            self.leases[lease],
            lambda: self.event_loop.loop.create_task(self._expire_leases([lease])))

    async def _put(self, key, value):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        return await self._set(key, base64.b64encode(text).decode(), 0)

    async def _put_all(self, values):
        for key, value in values.items():
            revision = await self._put(key, value)
        return revision

    async def _set(self, key, encoded, lease):
        async with self.changed:
            self.revision += 1
            created = self.items.get(key, {}).get("created", self.revision)
            self.items[key] = {
                "key": key, "value": encoded, "revision": self.revision, "created": created,
                "lease": lease,
            }
            self._record(dict(self.items[key]))
            self.changed.notify_all()
            return self.revision

    def _record(self, event):
        self.history.append(event)
        self._written_at.append(time.monotonic())

    async def _restore(self, items, revision):
        self.items = {key: dict(item) for key, item in items.items()}
        self.revision = revision
        kept = sum(event["revision"] <= revision for event in self.history)
        del self.history[kept:], self._written_at[kept:]
        if self.era is not None:
            self.era += 1
        await self._expire_leases(list(self.leases))

    async def _remove_all(self, keys):
        async with self.changed:
            for key in keys:
                if self.items.pop(key, None) is not None:
                    self.revision += 1
                    self._record({"key": key, "revision": self.revision, "deleted": True})
            self.changed.notify_all()
            return self.revision

    async def _expire_leases(self, leases):
        for lease in leases:
            self.leases.pop(lease, None)
            self._expiries.pop(lease).cancel()
        await self._remove_all([k for k, item in self.items.items() if item["lease"] in leases])
