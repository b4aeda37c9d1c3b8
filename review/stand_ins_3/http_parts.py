"""The small part of HTTP/1.1 that the stand-ins and clients of this review need."""

import asyncio


class Message:
    """A request or response head, and the body if it was read."""

    def __init__(self, first_line, fields, body=b""):
        self.first_line = first_line
        self.fields = fields
        self.body = body

    @property
    def method(self):
        return self.first_line.split(" ")[0]

    @property
    def target(self):
        return self.first_line.split(" ")[1]

    @property
    def status(self):
        return int(self.first_line.split(" ")[1])

    def field(self, name, fallback=""):
        return self.fields.get(name.lower(), fallback)


async def read_head(reader):
    """Reads a head. Returns None if the connection ends before its first byte."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = text.split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return Message(lines[0], fields)


async def read_request(reader):
    """Reads a request with its body. Returns None if there is no further one."""
    message = await read_head(reader)
    if message is None:
        return None
    if message.field("transfer-encoding") == "chunked":
        body, _ = await read_chunks(reader)
        message.body = body
    else:
        message.body = await reader.readexactly(int(message.field("content-length", "0")))
    return message


async def read_chunks(reader):
    """Reads a chunked body. Returns the bytes that arrived and whether it is complete."""
    body = b""
    try:
        while True:
            size = int((await reader.readline()).split(b";")[0].strip() or b"x", 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body, True
            body += part[:-2]
    except (asyncio.IncompleteReadError, ValueError, ConnectionError):
        return body, False


async def read_body(reader, message):
    """Reads the body of a response. Returns the bytes that arrived and whether the framing says that they are all."""
    if message.field("transfer-encoding") == "chunked":
        return await read_chunks(reader)
    if "content-length" in message.fields:
        length = int(message.field("content-length"))
        try:
            return await reader.readexactly(length), True
        except asyncio.IncompleteReadError as error:
            return error.partial, False
    try:
        return await reader.read(-1), True
    except ConnectionError:
        return b"", False


def head_bytes(first_line, fields):
    lines = [first_line] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def response_bytes(status, fields, body=b""):
    return head_bytes(f"HTTP/1.1 {status} X", {**fields, "Content-Length": len(body)}) + body
