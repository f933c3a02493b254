"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the cases."""

import asyncio
import json
import urllib.parse

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


class Request:
    """A complete request."""

    def __init__(self, method, target, headers, body):
        self.method = method
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = {key: values[0] for key, values in urllib.parse.parse_qs(parts.query).items()}
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Returns the first line and the headers, or None at the end of the connection."""
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            return first.decode("latin-1").strip(), headers
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(reader, headers):
    """Returns the body of a message that states its length or is chunked."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def serve(host, port, handler):
    """Starts a server. `handler` takes a Request and returns status and body, as bytes or as a
    value to encode as JSON."""

    writers = set()

    async def talk(reader, writer):
        writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                status, reply = await handler(Request(method, target, head[1], body))
                kind = "application/octet-stream"
                if not isinstance(reply, bytes):
                    reply = json.dumps(reply).encode()
                    kind = "application/json"
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                             f"Content-Type: {kind}\r\nContent-Length: {len(reply)}\r\n\r\n"
                             .encode() + reply)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(talk, host, port)
    return server, writers


async def close(served):
    """Closes a server and its connections."""
    server, writers = served
    server.close()
    for writer in list(writers):
        writer.close()


async def call(host, port, method, path, headers=None, body=b"", timeout=3.0):
    """Makes one call on a connection of its own.

    Returns the status and the body, or None and a text if no answer came in time.
    """

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in
                      ({"Host": host, "Connection": "close"} | (headers or {})).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("the connection was closed without an answer")
            return int(head[0].split(" ")[1]), await read_body(reader, head[1])
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
        return None, f"{type(error).__name__} {error}".strip()
