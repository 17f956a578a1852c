"""Which of a caller's headers go on to the target."""

from __future__ import annotations

from heatherkeel.entry.reading import outgoing_headers


def test_what_concerns_one_connection_stays_on_it() -> None:
    # A caller lists a header in `connection`: it is meant for this hop only. Passed on, a target
    # would act on what was never meant for it (RFC 9110, section 7.6.1).
    given = {"connection": "keep-alive, X-Hop", "x-hop": "1", "te": "trailers", "accept": "*/*"}
    assert outgoing_headers(given) == [(b"accept", b"*/*")]
