"""Tests for the parser of HTTP/1.1 responses."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatherkeel.platform.http_response import (
    MAX_HEAD_BYTES,
    HttpError,
    Response,
    ResponseParser,
)


def parse(data: bytes, cuts: list[int]) -> Response | None:
    """Return the response in data that arrives in parts, each ending at a cut."""
    parser = ResponseParser()
    places = sorted({min(cut, len(data)) for cut in cuts} | {len(data)})
    begin = 0
    for place in places:
        response = parser.feed(data[begin:place])
        if response is not None:
            assert place == len(data), "complete before its last byte"
            return response
        begin = place
    return None


def encode_chunked(body: bytes, sizes: list[int]) -> bytes:
    """Return a body as chunks of the given sizes."""
    parts, begin = [], 0
    for size in [*sizes, len(body)]:
        part = body[begin : begin + size]
        if part:
            parts.append(f"{len(part):x};note=1\r\n".encode() + part + b"\r\n")
        begin += size
    return b"".join(parts) + b"0\r\n"


@given(body=st.binary(max_size=200), cuts=st.lists(st.integers(0, 300), max_size=8))
def test_response_is_same_however_its_bytes_arrive(body: bytes, cuts: list[int]) -> None:
    data = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
    assert parse(data, cuts) == Response(status=200, body=body, keeps_open=True)


@given(
    body=st.binary(max_size=200),
    sizes=st.lists(st.integers(1, 60), max_size=6),
    trailers=st.sampled_from([b"", b"a: b\r\n"]),
    cuts=st.lists(st.integers(0, 400), max_size=8),
)
def test_chunked_response_is_same_however_its_bytes_arrive(
    body: bytes, sizes: list[int], trailers: bytes, cuts: list[int]
) -> None:
    head = b"HTTP/1.1 503 Busy\r\ntransfer-encoding: chunked\r\n\r\n"
    data = head + encode_chunked(body, sizes) + trailers + b"\r\n"
    assert parse(data, cuts) == Response(status=503, body=body, keeps_open=True)


@given(data=st.binary(max_size=300))
def test_no_bytes_raise_another_error(data: bytes) -> None:
    """A faulty or hostile worker must not stop the process that calls it."""
    parser = ResponseParser()
    try:
        if parser.feed(b"HTTP/1.1 200 OK\r\n" + data) is None:
            parser.finish()
    except HttpError:
        return


@pytest.mark.parametrize(
    ("head", "keeps_open"),
    [
        (b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: Close\r\n\r\n", False),
        (b"HTTP/1.0 200 OK\r\ncontent-length: 0\r\n\r\n", False),
        (b"HTTP/1.0 200 OK\r\ncontent-length: 0\r\nconnection: keep-alive\r\n\r\n", True),
        (b"HTTP/1.1 204 No Content\r\n\r\n", True),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", True),
        (b"HTTP/1.1 200\r\ncontent-length: 0\r\n\r\nsurplus", False),
    ],
)
def test_connection_is_kept_only_where_next_response_can_be_found(
    head: bytes, keeps_open: bool
) -> None:
    """A response that is read from the wrong place would answer another call."""
    response = ResponseParser().feed(head)
    assert response is not None
    assert response.keeps_open is keeps_open


def test_body_without_length_ends_with_connection() -> None:
    parser = ResponseParser()
    assert parser.feed(b"HTTP/1.1 200 OK\r\n\r\nab") is None
    assert parser.finish() == Response(status=200, body=b"ab", keeps_open=False)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n",
    ],
)
def test_incomplete_response_is_no_response(data: bytes) -> None:
    """Half an answer must not be taken for an empty list of records or tasks."""
    parser = ResponseParser()
    assert parser.feed(data) is None
    with pytest.raises(HttpError):
        parser.finish()


@pytest.mark.parametrize(
    "data",
    [
        b"SSH-2.0-x\r\n\r\n",
        b"HTTP/2 200 OK\r\n\r\n",
        b"HTTP/1.1 2x0 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length : 1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n-1\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nabc",
        b"HTTP/1.1 200 OK\r\na: " + b"x" * (MAX_HEAD_BYTES + 1),
    ],
)
def test_faulty_response_is_refused(data: bytes) -> None:
    with pytest.raises(HttpError):
        ResponseParser().feed(data)
