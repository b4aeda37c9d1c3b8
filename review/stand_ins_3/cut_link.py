"""A link to a runner that can be cut in both directions. What was sent before or during the cut arrives when it heals."""

import asyncio

BLOCK_BYTES = 65536


class CutLink:
    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def stop(self):
        self.server.close()

    def cut(self):
        self.is_open.clear()

    def heal(self):
        self.is_open.set()

    async def serve(self, reader, writer):
        await self.is_open.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.pump(reader, far_writer), self.pump(far_reader, writer))

    async def pump(self, reader, writer):
        """Passes bytes, an orderly end and a reset on, each only while the link is open."""
        try:
            while True:
                block = await reader.read(BLOCK_BYTES)
                await self.is_open.wait()
                if not block:
                    break
                writer.write(block)
                await writer.drain()
            writer.write_eof()
        except (ConnectionError, OSError):
            await self.is_open.wait()
            writer.transport.abort()
        except asyncio.CancelledError:
            # The script ends.
            writer.transport.abort()
