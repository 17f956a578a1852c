"""What the clients of a crowd send."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final

from tests.processes.standin_calls import HOST

BODY_BYTES: Final = 262_144
"""Largest body that the configuration allows by default, in bytes."""
MAX_FIELDS_BYTES: Final = 15_600
"""Size of many fields in bytes, within the limit of a head."""
MESSAGE_PARTS: Final = 600
PART_BYTES: Final = 100_000
MAX_TASKS: Final = 20_000
"""Most tasks of a job."""
NEVER: Final = {"count": 1, "cpu": 1, "requirements": "none-has-it"}
"""A step that no worker may run."""
ROUTE: Final = "/q/"
NO_ROUTE: Final = "/nowhere/"
READINESS: Final = "/heatherkeel/readyz"


def job_path(number: int, prefix: str = ROUTE) -> str:
    """Return the path of a job that no other client names."""
    return f"{prefix}{number:016x}"


def head(method: str, path: str, *fields: str) -> bytes:
    """Return a request's head."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def body_short_of_its_end(path: str) -> Iterator[bytes]:
    """Send a body of legal size but for its last byte, in one piece."""
    yield head("POST", path, f"Content-Length: {BODY_BYTES}")
    yield b"x" * (BODY_BYTES - 1)


def chunks_short_of_their_end(path: str) -> Iterator[bytes]:
    """Send a body of legal size in chunks, without the last one."""
    yield head("POST", path, "Transfer-Encoding: chunked")
    for _ in range(BODY_BYTES // 16_384 - 1):
        yield b"4000\r\n" + b"x" * 16_384 + b"\r\n"


def small_pieces(path: str) -> Iterator[bytes]:
    """Send a body in pieces of two bytes, one after the other."""
    yield head("POST", path, f"Content-Length: {BODY_BYTES}")
    while True:
        yield b"xx"


def far_too_large(path: str) -> Iterator[bytes]:
    """Send a body far over the limit."""
    yield head("POST", path, f"Content-Length: {64 * BODY_BYTES}")
    for _ in range(64):
        yield b"x" * BODY_BYTES


def endless_chunks(path: str) -> Iterator[bytes]:
    """Send chunks without end."""
    yield head("POST", path, "Transfer-Encoding: chunked")
    for _ in range(256):
        yield b"10000\r\n" + b"x" * 65_536 + b"\r\n"


def many_fields(path: str) -> Iterator[bytes]:
    """Send a legal number of bytes that are made of very many fields."""
    fields = b"a:\r\n" * (MAX_FIELDS_BYTES // 4)
    start = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 9\r\n".encode()
    yield start + fields + b"\r\n"
    yield b"{"


def slow_head(path: str) -> Iterator[bytes]:
    """Send a head byte by byte and never end it."""
    yield f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Slow: ".encode()
    while True:
        yield b"x"


def nothing() -> Iterable[bytes]:
    """Send nothing."""
    return ()


def upgrade_with_frames(path: str) -> Iterator[bytes]:
    """Ask for a WebSocket and send frames right behind that."""
    fields = (
        "Connection: Upgrade",
        "Upgrade: websocket",
        "Sec-WebSocket-Version: 13",
        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==",
    )
    yield head("GET", path, *fields) + b"\x81\x85\x01\x02\x03\x04" + b"hello" * 20


def http2_preface(path: str) -> Iterator[bytes]:
    """Speak HTTP/2 without being asked to, and open streams with header blocks."""
    settings = b"\x00\x00\x00\x04\x00\x00\x00\x00\x00"
    yield b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + settings
    # A literal header field without a name index: a name of one byte, a value of 100.
    field = b"\x00\x01a\x64" + b"v" * 100
    block = b"\x83\x86\x44" + bytes([len(path)]) + path.encode() + b"\x41\x01a" + field * 100
    for stream in range(1, 200, 2):
        size = len(block).to_bytes(3, "big")
        yield size + b"\x01\x04" + stream.to_bytes(4, "big") + block


def h2c_upgrade(path: str) -> Iterator[bytes]:
    """Ask for HTTP/2 in clear text."""
    fields = ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMAAABk")
    yield head("GET", path, *fields)
    yield b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\x00\x00\x00\x04\x00\x00\x00\x00\x00"


def sent_ahead(method: str, path: str) -> Iterator[bytes]:
    """Send requests one behind the other."""
    request = head(method, path)
    for _ in range(40):
        yield request * 100


def message_without_end() -> Iterator[bytes]:
    """Speak ZeroMQ's protocol (ZMTP 3.0) and send one message of very many parts."""
    mechanism = b"NULL".ljust(20, b"\0")
    greeting = b"\xff" + bytes(8) + b"\x7f" + b"\x03\x00" + mechanism + bytes(32)
    kind = b"\x0bSocket-Type" + (6).to_bytes(4, "big") + b"DEALER"
    ready = b"\x05READY" + kind
    yield greeting + b"\x04" + bytes([len(ready)]) + ready
    more_and_long = b"\x03"
    for _ in range(MESSAGE_PARTS):
        yield more_and_long + PART_BYTES.to_bytes(8, "big") + b"x" * PART_BYTES


def wide_job() -> bytes:
    """Return a job of legal size that holds very many values once it is decoded."""
    steps: list[dict[str, Any]] = [dict(NEVER)]
    size = 0
    for number in range(1, 1000):
        steps.append({**NEVER, "dependsOn": list(range(number))})
        size += len(json.dumps(steps[-1], separators=(",", ":"))) + 1
        if size > BODY_BYTES - 10_000:
            steps.pop()
            break
    return json.dumps({"spec": "work 20", "steps": steps}, separators=(",", ":")).encode()


def many_tasks() -> bytes:
    """Return a small job of very many tasks."""
    return json.dumps({"spec": "work 20", "steps": [{**NEVER, "count": MAX_TASKS}]}).encode()


def empty_steps() -> bytes:
    """Return a body of legal size with as many steps as fit in."""
    count = (BODY_BYTES - 40) // 3
    return b'{"spec":"x","steps":[' + b",".join([b"{}"] * count) + b"]}"


def whole_jobs(body: bytes) -> Callable[[], Iterator[bytes]]:
    """Return a script that hands in a job of its own with each connection."""
    numbers = iter(range(0xA000_0000, 0xB000_0000))

    def script() -> Iterator[bytes]:
        path = job_path(next(numbers))
        fields = ("Content-Type: application/json", f"Content-Length: {len(body)}")
        yield head("POST", path, *fields) + body

    return script
