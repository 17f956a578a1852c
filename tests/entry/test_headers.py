"""Tests of the headers that are forwarded to targets."""

from __future__ import annotations

from heatherkeel.entry.reading import outgoing_headers


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    # Hop-by-hop headers, including those listed in `connection`, must not be forwarded (RFC 9110,
    # section 7.6.1).
    given = {"connection": "keep-alive, X-Hop", "x-hop": "1", "te": "trailers", "accept": "*/*"}
    assert outgoing_headers(given) == [(b"accept", b"*/*")]
