"""A stand-in of the platform's metadata store: rows, the feed of changes, and the list of runners."""

import asyncio
import base64
import json
import time
import urllib.parse

import http_parts

# The store removes the row of a runner that has been silent for three heartbeats.
SILENT_HEARTBEATS = 3


class Store:
    def __init__(self, address, heartbeat_s):
        self.address = address
        self.heartbeat_s = heartbeat_s
        self.ver = 1
        self.rows = {}
        # (ver, table, key, value or None), oldest first.
        self.history = []
        self.heard_at = {}
        self.changed = asyncio.Condition()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 22)
        self.expiry = asyncio.ensure_future(self.expire())

    async def stop(self):
        self.expiry.cancel()
        self.server.close()

    async def put(self, table, key, value):
        """Writes a row, or removes it if `value` is None."""
        async with self.changed:
            if self.rows.get((table, key), (None,))[0] == value:
                return
            self.ver += 1
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[(table, key)] = (value, self.ver)
            self.history.append((self.ver, table, key, value))
            self.changed.notify_all()

    async def heartbeat(self, key, value):
        self.heard_at[key] = time.monotonic()
        await self.put("servers", key, value)

    async def leave(self, key):
        self.heard_at.pop(key, None)
        await self.put("servers", key, None)

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            for key, at in list(self.heard_at.items()):
                if time.monotonic() - at > SILENT_HEARTBEATS * self.heartbeat_s:
                    await self.leave(key)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await http_parts.read_request(reader)
                if request is None:
                    break
                status, answer = await self.answer(request)
                writer.write(http_parts.response_bytes(status, {"Content-Type": "application/json"}, json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The last one when the script ends.
            pass
        finally:
            writer.close()

    async def answer(self, request):
        path, _, query = request.target.partition("?")
        values = {name: parts[0] for name, parts in urllib.parse.parse_qs(query).items()}
        if path == "/v1/rows-get":
            return 200, self.read(values)
        if path == "/v1/rows-feed":
            return 200, await self.feed(values)
        if path == "/v1/rows-tx":
            return await self.transact(json.loads(request.body))
        # How runners reach the list: a heartbeat, or the end of the row.
        if path == "/runners" and request.method == "PUT":
            await self.heartbeat(values["id"], request.body.decode())
            return 200, {}
        if path == "/runners" and request.method == "DELETE":
            await self.leave(values["id"])
            return 200, {}
        return 404, {}

    def now_ms(self):
        return int(time.monotonic() * 1000)

    @staticmethod
    def row(table, key, value, ver):
        return {"table": table, "part": "", "key": key, "value": base64.b64encode(value.encode()).decode(), "ver": ver}

    def read(self, values):
        first = values.get("from", "")
        limit = int(values.get("limit", "500"))
        keys = sorted(key for table, key in self.rows if table == values["table"] and key >= first)
        rows = [self.row(values["table"], key, *self.rows[(values["table"], key)]) for key in keys[:limit]]
        return {"rows": rows, "has_more": len(keys) > limit, "ver": self.ver, "now_ms": self.now_ms()}

    async def feed(self, values):
        after = int(values["after"])
        until = time.monotonic() + int(values.get("wait_ms", "0")) / 1000
        async with self.changed:
            while True:
                newest = {}
                for ver, table, key, value in self.history:
                    if table == values["table"] and ver > after:
                        newest[key] = (ver, value)
                left = until - time.monotonic()
                if newest or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        rows = []
        for key, (ver, value) in sorted(newest.items(), key=lambda item: item[1][0]):
            row = self.row(values["table"], key, value or "", ver)
            if value is None:
                row["removed"] = True
            rows.append(row)
        return {"rows": rows, "ver": self.ver, "now_ms": self.now_ms()}

    async def transact(self, body):
        for expected in body.get("expected_rev", []):
            known = self.rows.get((expected["table"], expected["key"]), ("", 0))
            if known[1] != expected["ver"]:
                return 412, {"rows": []}
        for row in body.get("puts", []):
            if row["table"] in ("op", "servers"):
                return 403, {}
            await self.put(row["table"], row["key"], base64.b64decode(row["value"]).decode())
        for row in body.get("remove", []):
            await self.put(row["table"], row["key"], None)
        return 200, {"ver": self.ver, "now_ms": self.now_ms()}
