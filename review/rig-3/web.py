"""Minimal HTTP/1.1 server and client on asyncio streams."""

import asyncio
import json
from urllib.parse import parse_qsl, unquote, urlsplit


class Request:
    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = unquote(parts.path)
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body or b"{}")


async def read_message(reader):
    """Returns the start line, the headers and the body, or None at the end of the channel."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if field in (b"\r\n", b"\n", b""):
            break
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return line.decode("latin-1").rstrip("\r\n"), headers, body


def encode_response(status, body, content_type):
    head = f"HTTP/1.1 {status} X\r\nContent-Type: {content_type}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def json_response(status, value):
    return status, json.dumps(value).encode(), "application/json"


class Server:
    """A server that resets its channels when it is closed, as a process does that is killed."""

    def __init__(self):
        self.server = None
        self.writers = set()

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def serve(host, port, handle):
    """Serves requests with `handle(request, writer) -> (status, body, type)`, or None for no
    answer."""
    served = Server()

    async def channel(reader, writer):
        served.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                answer = await handle(Request(method, target, headers, body), writer)
                if answer is None:
                    # Nothing more is returned on a channel on which an answer was lost.
                    await asyncio.sleep(3600)
                    return
                writer.write(encode_response(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            served.writers.discard(writer)
            writer.close()

    served.server = await asyncio.start_server(channel, host, port, limit=1 << 24)
    return served


async def call(host, port, method, path, body=None, headers=None, timeout=3.0):
    """Returns the status and the body of one call; status 0 if there was no answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            fields = {"Host": f"{host}:{port}", "Content-Type": "application/json",
                      "Content-Length": str(len(data)), "Connection": "close"}
            fields.update(headers or {})
            head = f"{method} {path} HTTP/1.1\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"
            writer.write(head.encode() + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, b""
            line, _, answer = message
            return int(line.split(" ")[1]), answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
