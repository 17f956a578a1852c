"""Parses one HTTP/1.1 response from bytes as they arrive."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MAX_HEAD_BYTES: Final = 64 * 1024
"""Maximum size of a status line with its headers, and of a chunk's size line, in bytes."""
_HEAD_END: Final = b"\r\n\r\n"
_LINE_END: Final = b"\r\n"
_BODILESS: Final = frozenset({204, 304})


class HttpError(ValueError):
    """The bytes aren't a request or response that this client supports."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A complete response, and whether its connection can carry another request."""

    status: int
    body: bytes
    keeps_open: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class _Head:
    """A status with the headers that delimit the body; `length` is None if none is declared."""

    status: int
    keeps_open: bool
    is_chunked: bool
    length: int | None


class ResponseParser:
    """Collects the bytes of one response to a request that isn't HEAD or CONNECT."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.head: _Head | None = None
        self.chunks: list[bytes] = []

    def feed(self, data: bytes) -> Response | None:
        """Add received bytes; return the response once it is complete, or raise `HttpError`."""
        self.data += data
        while self.head is None:
            head = self._take_head()
            if head is None:
                return None
            # Informational responses precede the final one.
            self.head = head if head.status >= 200 else None
        return self._take_body(self.head)

    def finish(self) -> Response:
        """Return the response that ends with its connection, or raise `HttpError`."""
        head = self.head
        if head is None or head.is_chunked or head.length is not None:
            raise HttpError("the connection was closed before the end of the response")
        return Response(status=head.status, body=bytes(self.data), keeps_open=False)

    def _take_head(self) -> _Head | None:
        end = self.data.find(_HEAD_END)
        if end < 0:
            _check_size(len(self.data))
            return None
        _check_size(end)
        head = _parse_head(bytes(self.data[:end]))
        del self.data[: end + len(_HEAD_END)]
        return head

    def _take_body(self, head: _Head) -> Response | None:
        if head.is_chunked:
            return self._take_chunks(head)
        if head.length is None or len(self.data) < head.length:
            return None
        body = bytes(self.data[: head.length])
        return self._end(head, body, surplus=len(self.data) - head.length)

    def _take_chunks(self, head: _Head) -> Response | None:
        while True:
            line_end = self.data.find(_LINE_END)
            if line_end < 0:
                _check_size(len(self.data))
                return None
            size = _parse_chunk_size(bytes(self.data[:line_end]))
            if size == 0:
                return self._take_trailers(head, line_end)
            begin = line_end + len(_LINE_END)
            end = begin + size + len(_LINE_END)
            if len(self.data) < end:
                return None
            if self.data[begin + size : end] != _LINE_END:
                raise HttpError("a chunk is longer than declared")
            self.chunks.append(bytes(self.data[begin : begin + size]))
            del self.data[:end]

    def _take_trailers(self, head: _Head, line_end: int) -> Response | None:
        """End a chunked body at the empty line after its last chunk and the trailers, if any."""
        end = self.data.find(_HEAD_END, line_end)
        if end < 0:
            _check_size(len(self.data))
            return None
        return self._end(head, b"".join(self.chunks), surplus=len(self.data) - end - len(_HEAD_END))

    def _end(self, head: _Head, body: bytes, *, surplus: int) -> Response:
        return Response(status=head.status, body=body, keeps_open=head.keeps_open and not surplus)


def _parse_head(head: bytes) -> _Head:
    first, *lines = head.split(_LINE_END)
    version, _, rest = first.partition(b" ")
    status = rest[:3]
    if version not in (b"HTTP/1.1", b"HTTP/1.0") or len(status) != 3 or not status.isdigit():
        raise HttpError(f"status line {first[:80]!r}")
    number = int(status)
    keeps_open = version == b"HTTP/1.1"
    is_chunked = False
    length = 0 if number in _BODILESS else None
    for line in lines:
        name, colon, value = line.partition(b":")
        name, value = name.lower(), value.strip(b" \t")
        if not colon or not name or name != name.strip():
            raise HttpError(f"header {line[:80]!r}")
        if name == b"content-length" and number not in _BODILESS:
            length = _parse_length(value, known=length)
        elif name == b"transfer-encoding" and number not in _BODILESS:
            if value.lower() != b"chunked" or is_chunked:
                raise HttpError(f"transfer encoding {value[:80]!r}")
            is_chunked = True
        elif name == b"connection":
            options = {option.strip() for option in value.lower().split(b",")}
            keeps_open = (keeps_open or b"keep-alive" in options) and b"close" not in options
    return _Head(status=number, keeps_open=keeps_open, is_chunked=is_chunked, length=length)


def _parse_length(value: bytes, *, known: int | None) -> int:
    if not value.isdigit() or len(value) > 18 or known not in (None, int(value)):
        raise HttpError(f"content length {value[:80]!r}")
    return int(value)


def _parse_chunk_size(line: bytes) -> int:
    size = line.partition(b";")[0].strip(b" \t")
    if not size or len(size) > 15 or size.strip(b"0123456789abcdefABCDEF"):
        raise HttpError(f"chunk size {line[:80]!r}")
    return int(size, 16)


def _check_size(size: int) -> None:
    if size > MAX_HEAD_BYTES:
        raise HttpError(f"more than {MAX_HEAD_BYTES} bytes of headers")
