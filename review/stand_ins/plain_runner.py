"""A sound runner of a plain service, which may leave as the pages say."""

import asyncio
import json
import time

from installation import read_request, response

SLOTS = 6


class PlainRunner:
    def __init__(self, name, service, ip, port, record, work_s):
        self.name = name
        self.service = service
        self.ip = ip
        self.port = port
        self.record = record
        self.work_s = work_s
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.is_leaving = False
        self.running = 0
        # When each request reached this runner, and which have been answered.
        self.reached = {}
        self.answered = set()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def exit(self):
        """Ends the process of the runner. All its channels close."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.write(f"{self.name}: exits")

    def row(self):
        self.sequence += 1
        return json.dumps({"service": self.service, "address": f"{self.ip}:{self.port}", "zone": "z-a", "version": "v1", "slots": SLOTS,
                           "state": self.state, "cold_left_ms": 0, "seq": self.sequence, "born": self.born})

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            request = await read_request(reader)
            if request is None:
                return
            attempt = request.field("Attempt-Id")
            leaving = {"Server-Leaving": "1"} if self.is_leaving else {}
            if request.field("Expect-Instance") != self.name:
                writer.write(response(421, "Misdirected Request", {"Instance-Id": self.name}, b""))
                return
            self.reached[attempt] = time.monotonic()
            if self.running >= SLOTS:
                writer.write(response(503, "Service Unavailable", {"Attempt-Id": attempt, "Not-Executed": "1", **leaving}, b""))
                return
            self.running += 1
            self.record.write(f"{self.name}: runs {attempt}")
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
            leaving = {"Server-Leaving": "1"} if self.is_leaving else {}
            fields = {"Attempt-Id": attempt, "Server-Seal": "3e1b.07.5a2.600.0." + attempt[-8:], "Server-Load": f"{self.running},0,{SLOTS}", **leaving}
            writer.write(response(200, "OK", fields, b"x" * 800))
            await writer.drain()
            self.answered.add(attempt)
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
