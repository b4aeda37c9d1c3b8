"""A runner of a plain service, as a process of its own, so that its end closes its connections as the kernel does.

    plain_runner.py IP PORT ID FRAMING [PART_PAUSE_S]

It answers a POST below /lohu930/ with a stream of EVENTS events, and any other request with a body, in parts with a pause after each. FRAMING is `chunked` or `close`: an answer
without a length that ends with its connection, which the pages allow. Writes a line for each run and its end to standard output.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from deployment import read_request, response  # noqa: E402

EVENTS = 24
EVENT_PAUSE_S = 0.15
PART_PAUSE_S = 0.05
PART_BYTES = 200
STREAM_PATH = "/lohu930/"


def event(number):
    return f"id: {number}\ndata: {'t' * 48}\n\n".encode()


def body_of(attempt):
    """The whole body of an answer that is no stream."""
    return b"".join(f"{attempt} line {line}\n".encode() for line in range(40))


class Runner:
    def __init__(self, name, is_chunked, part_pause_s):
        self.name = name
        self.is_chunked = is_chunked
        self.part_pause_s = part_pause_s

    def head(self, attempt, kind):
        framing = "Transfer-Encoding: chunked\r\n" if self.is_chunked else ""
        return (f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: 3e1b.07.{attempt}\r\nContent-Type: {kind}\r\n"
                f"{framing}Connection: close\r\n\r\n").encode()

    def part(self, content):
        return f"{len(content):x}\r\n".encode() + content + b"\r\n" if self.is_chunked else content

    async def send(self, writer, parts, pause_s):
        for part in parts:
            writer.write(self.part(part))
            await writer.drain()
            await asyncio.sleep(pause_s)
        if self.is_chunked:
            writer.write(b"0\r\n\r\n")
            await writer.drain()

    async def serve(self, reader, writer):
        try:
            request = await read_request(reader)
            if request is None:
                return
            if request.target == "/healthz":
                writer.write(response(200, "OK", {"Instance-Id": self.name}, b""))
                return
            attempt = request.field("Attempt-Id")
            if request.field("Expect-Instance") not in ("", self.name):
                writer.write(response(421, "Misdirected Request", {"Attempt-Id": attempt, "Not-Executed": "1"}, b""))
                return
            print(f"{self.name}: runs {attempt} after event {request.field('Last-Event-Id') or '0'}", flush=True)
            if request.target.startswith(STREAM_PATH):
                first = int(request.field("Last-Event-Id") or "0") + 1
                writer.write(self.head(attempt, "text/event-stream"))
                await self.send(writer, [event(number) for number in range(first, EVENTS + 1)], EVENT_PAUSE_S)
            else:
                body = body_of(attempt)
                writer.write(self.head(attempt, "text/plain"))
                await self.send(writer, [body[start:start + PART_BYTES] for start in range(0, len(body), PART_BYTES)], self.part_pause_s)
            print(f"{self.name}: has answered {attempt} in full", flush=True)
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


async def main():
    ip, port, name, framing = sys.argv[1:5]
    runner = Runner(name, framing == "chunked", float(sys.argv[5]) if len(sys.argv) > 5 else PART_PAUSE_S)
    server = await asyncio.start_server(runner.serve, ip, int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
