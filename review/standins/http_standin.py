"""A small HTTP/1.1 server and client for the stand-ins, on asyncio."""
import asyncio


async def read_head(reader):
    """Returns the first line and the fields by lower-case name."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_chunk(reader):
    """Returns the next chunk's bytes; empty for the last one."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Request:
    def __init__(self, method, target, fields, body):
        self.method = method
        self.target = target
        self.path, _, self.query_text = target.partition("?")
        self.fields = fields
        self.body = body

    def query(self):
        pairs = (p.partition("=") for p in self.query_text.split("&") if p)
        return {name: value for name, _, value in pairs}


def head(status, fields):
    text = f"HTTP/1.1 {status} X\r\n"
    return (text + "".join(f"{n}: {v}\r\n" for n, v in fields) + "\r\n").encode()


def answer(status, fields, body=b""):
    return head(status, [*fields, ("Content-Length", len(body))]) + body


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def serve(address, handle):
    """Serves connections. handle(request, writer) writes one answer and returns
    whether the connection stays open."""

    async def connection(reader, writer):
        try:
            while True:
                first, fields = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, fields)
                if not await handle(Request(method, target, fields, body), writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, *address, backlog=512)


async def call(address, method, target, fields=(), body=b"", timeout=5.0):
    """Sends one request on a new connection; returns status, fields, body."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [
                ("Host", f"{address[0]}:{address[1]}"),
                ("Connection", "close"),
                *fields,
            ]
            if body or method != "GET":
                lines.append(("Content-Length", len(body)))
            text = f"{method} {target} HTTP/1.1\r\n"
            text += "".join(f"{n}: {v}\r\n" for n, v in lines) + "\r\n"
            writer.write(text.encode() + body)
            first, got = await read_head(reader)
            return int(first.split(" ")[1]), got, await read_body(reader, got)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)
