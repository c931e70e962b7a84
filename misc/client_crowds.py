"""Crowds of clients that don't behave. Each function returns the clients of one crowd against a system, whose ports
are attributes: entry_port, metrics_port, link_port and agent_port."""
import asyncio

MIB = 1 << 20
CROWD, DESCRIPTOR_CROWD = 150, 800
HEAD = "POST {path} HTTP/1.1\r\nHost: desk.example\r\nDeadline-Ms: 1500\r\nContent-Type: application/json\r\n"


def announced(path, size, method="POST"):
    return (HEAD.format(path=path) + f"Content-Length: {size}\r\n\r\n").replace("POST", method, 1).encode()


def chunked(path):
    return (HEAD.format(path=path) + "Transfer-Encoding: chunked\r\n\r\n").encode()


def chunk(size):
    return f"{size:x}\r\n".encode() + b" " * size + b"\r\n"


class Client:
    """Sends parts over one connection, pausing between them, and keeps it open without reading."""

    def __init__(self, port, parts, pause_s=0.0):
        self.port, self.parts, self.pause_s, self.sent, self.writer = port, parts, pause_s, 0, None

    async def play(self):
        try:
            # A limit of one byte stops the reader at once, so that answers stay in the socket.
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1)
            for part in self.parts:
                self.writer.write(part)
                await self.writer.drain()
                self.sent += len(part)
                if self.pause_s:
                    await asyncio.sleep(self.pause_s)
        except OSError:
            pass  # The server may refuse the client.

    def leave(self):
        if self.writer:
            self.writer.transport.abort()


def bodies(port, path, size, count=CROWD, method="POST"):
    return [Client(port, [announced(path, size, method), b" " * (size - 1)]) for _ in range(count)]


def job_path(number):
    return f"/orders/{number:016x}"


# Bodies at an entry whose limit is 1 MiB.

def whole_bodies(system):
    return bodies(system.entry_port, job_path(1), MIB)


def bodies_in_pieces(system):
    piece = 64 << 10
    parts = [announced(job_path(1), MIB)] + [b" " * piece] * (MIB // piece - 1) + [b" " * (piece - 1)]
    return [Client(system.entry_port, parts, 0.02) for _ in range(CROWD)]


def large_chunks(system):
    size = 64 << 10
    parts = [chunked(job_path(1))] + [chunk(size)] * (MIB // size - 1)
    return [Client(system.entry_port, parts) for _ in range(CROWD)]


def small_chunks(system):
    block = chunk(1) * 8192
    return [Client(system.entry_port, [chunked(job_path(1))] + [block] * (MIB // 8192 - 1)) for _ in range(CROWD)]


def announced_too_large(system):
    parts = [announced(job_path(1), 64 * MIB)] + [b" " * MIB] * 63
    return [Client(system.entry_port, parts) for _ in range(CROWD)]


def sent_too_large(system):
    return [Client(system.entry_port, [chunked(job_path(1))] + [chunk(MIB)] * 64) for _ in range(CROWD)]


# Further ways to make a process hold something.

def idle_connections(system):
    return [Client(system.entry_port, []) for _ in range(DESCRIPTOR_CROWD)]


def unfinished_headers(system):
    parts = [f"GET {job_path(1)} HTTP/1.1\r\n".encode()] + [b"X-Header: 1\r\n"] * 40
    return [Client(system.entry_port, parts, 0.1) for _ in range(DESCRIPTOR_CROWD)]


def announced_and_not_sent(system):
    return [Client(system.entry_port, [announced(job_path(1), MIB)]) for _ in range(CROWD * 2)]


def jobs_of_many_tasks(system):
    step = '{"count":100000,"cpu":32000,"mem-mb":1,"estimate-ms":10}'
    body = f'{{"spec":"10/32000","best-effort":true,"phases":[{step}]}}'.encode()
    return [Client(system.entry_port, [announced(job_path(i + 1), len(body)), body]) for i in range(CROWD)]


def jobs_without_demand(system):
    """Their tasks take no capacity of a worker, so all of them are sent to its agent at once."""
    body = b'{"spec":"10/0","best-effort":true,"phases":[{"count":5000,"estimate-ms":10}]}'
    return [Client(system.entry_port, [announced(job_path(i + 1), len(body)), body]) for i in range(CROWD)]


def large_trees(system):
    body = (b'{"spec":"","best-effort":true,"phases":[' + b"{}," * (MIB // 3))[:MIB - 4] + b"]}"
    return [Client(system.entry_port, [announced(job_path(1), len(body)), body]) for _ in range(CROWD)]


def long_paths(system):
    path = "/orders/" + "a" * 12000
    return [Client(system.entry_port, [f"GET {path} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {path}\r\n\r\n".encode()] * 100)
            for _ in range(CROWD)]


def unread_metrics(system):
    return [Client(system.metrics_port, [b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n" * 500]) for _ in range(CROWD)]


def unfinished_frames(system):
    size = 8 * MIB
    return [Client(system.link_port, [size.to_bytes(4, "big"), b" " * (size - 1)]) for _ in range(20)]


def idle_links(system):
    return [Client(system.link_port, []) for _ in range(DESCRIPTOR_CROWD)]


def announcements(system):
    return bodies(system.agent_port, "/api/instances/w-9", 4 * MIB, 40, "PUT")


def idle_agent_connections(system):
    return [Client(system.agent_port, []) for _ in range(DESCRIPTOR_CROWD)]


def submissions(system):
    return bodies(system.entry_port, "/v1/jobs", 4 * MIB, 40)


def owner_announcements(system):
    return bodies(system.agent_port, "/v1/announce", 16 << 10, DESCRIPTOR_CROWD)


# The crowds against the system whose tasks share workers.
ENTRY_CROWDS = (whole_bodies, bodies_in_pieces, large_chunks, small_chunks, announced_too_large, sent_too_large,
                idle_connections, unfinished_headers, announced_and_not_sent, jobs_of_many_tasks, large_trees, long_paths,
                unread_metrics, unfinished_frames, idle_links)
AGENT_CROWDS = (announcements, idle_agent_connections, jobs_without_demand)
