"""A sound runner as a process of its own. Its streams have neither a length nor chunks and end with their channel.

Arguments: id, address, port. It writes a line to standard output for each request that it begins and ends.
"""

import asyncio
import sys

from installation import read_request, response

EVENTS = 24
EVENT_S = 0.05


async def serve(name, reader, writer):
    try:
        request = await read_request(reader)
        if request is None:
            return
        attempt = request.field("Attempt-Id")
        if request.field("Expect-Instance") != name:
            writer.write(response(421, "Misdirected Request", {"Instance-Id": name}, b""))
            return
        print(f"runs {attempt} after event {request.field('Last-Event-Id') or 0}", flush=True)
        writer.write((f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: 3e1b.07.5a2.600.0.{attempt[-8:]}\r\n"
                      "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n").encode())
        for number in range(int(request.field("Last-Event-Id") or "0") + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            writer.write(f"id: {number}\ndata: {'x' * 50}\n\n".encode())
            await writer.drain()
        print(f"ends {attempt}", flush=True)
    except (ConnectionError, OSError):
        pass
    finally:
        writer.close()


async def main():
    name, host, port = sys.argv[1:4]
    server = await asyncio.start_server(lambda reader, writer: serve(name, reader, writer), host, int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
