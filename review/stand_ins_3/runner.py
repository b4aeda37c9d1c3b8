"""A stand-in of a runner of a plain service, one process.

It registers in the store, answers requests, and writes a line of JSON to its log for each request that it begins and each answer that it
has written whole. What it does is told by the path of a request: the last part is `PARTS-MS`, the number of parts of the answer and the
time between two of them. An answer has neither a length nor chunks and ends with its connection, as the pages allow.

    runner.py --ip IP --port N --id ID --service NAME --store IP:PORT --log FILE [--heartbeat-s S]
"""

import argparse
import asyncio
import json
import os
import time

import http_parts

PART_BYTES = 64


def parts_of(attempt, target):
    """The parts of the whole answer to a request."""
    count = int(target.rstrip("/").rsplit("/", 1)[1].split("-")[0])
    return [f"{attempt} part {number} of {count}".ljust(PART_BYTES - 1).encode() + b"\n" for number in range(1, count + 1)]


class Runner:
    def __init__(self, options):
        self.options = options
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.log = open(options.log, "a", encoding="utf-8")  # pylint: disable=consider-using-with

    def record(self, event, **fields):
        self.log.write(json.dumps({"at": round(time.time(), 3), "runner": self.options.id, "event": event, **fields}) + "\n")
        self.log.flush()

    def row(self):
        self.seq += 1
        return json.dumps({"service": self.options.service, "address": f"{self.options.ip}:{self.options.port}", "zone": "zone-a",
                           "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0,
                           "seq": self.seq, "born": self.born})

    async def report(self):
        ip, port = self.options.store.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        body = self.row().encode()
        writer.write(http_parts.head_bytes(f"PUT /runners?id={self.options.id} HTTP/1.1", {"Host": ip, "Content-Length": len(body)}) + body)
        await http_parts.read_head(reader)
        writer.close()

    async def keep_reporting(self):
        while True:
            try:
                await self.report()
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(self.options.heartbeat_s)

    async def run(self):
        server = await asyncio.start_server(self.serve, self.options.ip, self.options.port)
        self.record("start", pid=os.getpid())
        asyncio.ensure_future(self.keep_reporting())
        async with server:
            await server.serve_forever()

    async def serve(self, reader, writer):
        try:
            request = await http_parts.read_request(reader)
            if request is not None:
                await self.answer(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, request, writer):
        attempt = request.field("attempt-id")
        if request.field("expect-instance", self.options.id) != self.options.id:
            writer.write(http_parts.response_bytes(421, {"Instance-Id": self.options.id}))
            await writer.drain()
            return
        self.record("run", attempt=attempt, target=request.target)
        fields = {"Attempt-Id": attempt, "Server-Seal": f"s.{attempt}", "Connection": "close"}
        writer.write(http_parts.head_bytes("HTTP/1.1 200 OK", fields))
        pause_s = int(request.target.rstrip("/").rsplit("-", 1)[1]) / 1000
        for part in parts_of(attempt, request.target):
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(pause_s)
        self.record("done", attempt=attempt)


def main():
    parser = argparse.ArgumentParser()
    for name in ("ip", "id", "service", "store", "log"):
        parser.add_argument("--" + name, required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--heartbeat-s", type=float, default=1.2)
    asyncio.run(Runner(parser.parse_args()).run())


if __name__ == "__main__":
    main()
