"""A small HTTP/1.1 server and client on asyncio, for the stand-ins and the scripts of the review."""
import asyncio
import json


class Request:
    def __init__(self, method, path, query, headers, body):
        self.method, self.path, self.query, self.headers, self.body = method, path, query, headers, body

    def json(self):
        return json.loads(self.body or b"{}")


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


def parse_request(message):
    first, headers, body = message
    method, target, _ = first.split(" ", 2)
    path, _, query_text = target.partition("?")
    query = dict(item.partition("=")[::2] for item in query_text.split("&") if item)
    return Request(method, path, query, headers, body)


async def serve(ip, port, handler):
    """Serves requests with keep-alive. The handler returns (status, object), or None to leave one unanswered."""

    async def on_connection(reader, writer):
        try:
            while True:
                request = parse_request(await read_message(reader))
                answer = await handler(request)
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, ip, port)


async def call(address, method, path, body=None, headers=(), timeout=5.0):
    """Sends one request on a new connection and closes it.

    Returns (status, body). The status is None without a complete answer in time or if the connection broke."""
    writer = None

    async def exchange():
        nonlocal writer
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        data = json.dumps(body).encode() if body is not None else b""
        head = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}", "Content-Type: application/json", *headers]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + data)
        await writer.drain()
        first, _, content = await read_message(reader)
        return int(first.split(" ")[1]), content

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, b"no answer in time"
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return None, b"connection broken"
    finally:
        if writer is not None:
            writer.close()
