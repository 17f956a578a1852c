"""Fuzz tests: no request to the admin port causes a server error."""

from __future__ import annotations

import json
from collections import Counter
from typing import Final

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from heatherkeel.core.models import LogRecord
from heatherkeel.core.reducer import fold
from heatherkeel.core.registry import find_violations
from heatherkeel.core.state import FleetState, digest

from .fakes import Api, MemoryLog, open_api
from .test_catalogue_api import POOL, STOCK

METHODS: Final = ("GET", "HEAD", "PUT", "DELETE", "POST", "PATCH", "OPTIONS", "BREW")
HEADERS: Final = ("if-match", "if-none-match", "idempotency-key", "content-type", "authorization")
FIELDS: Final = (
    *("kind", "owner", "pool", "path_prefix", "budget", "min_serving", "reserve", "size"),
    *("limits", "max_queued", "service_class", "cpu_quota", "period_h"),
)
WORDS: Final = ("service", "pool", "team", "maintenance", "sheetal", "agency", "desk", "/stock")

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(WORDS),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(FIELDS) | st.text(max_size=8), inner, max_size=6),
    max_leaves=12,
)
entries = st.fixed_dictionaries(
    {"kind": st.sampled_from(WORDS[:4]), "owner": st.sampled_from(WORDS[4:6])},
    optional={
        "size": st.integers(-1, 5),
        "pool": st.sampled_from(("desk", "dock")),
        "path_prefix": st.sampled_from(("/stock", "/stock/", "stock", "/\n")),
        "budget": st.fixed_dictionaries({"min_serving": st.integers(-1, 5)}),
    },
)
pools = st.fixed_dictionaries(
    {"kind": st.just("pool"), "owner": st.just("sheetal"), "size": st.integers(0, 5)}
)
services = st.fixed_dictionaries(
    {
        "kind": st.just("service"),
        "owner": st.just("sheetal"),
        "pool": st.just("desk"),
        "path_prefix": st.sampled_from(("/stock", "/stock/", "/quotes")),
        "budget": st.fixed_dictionaries({"min_serving": st.integers(0, 5)}),
    }
)
bodies = st.binary(max_size=40) | (pools | services | entries | json_values).map(
    lambda value: json.dumps(value).encode()
)
header_values = st.sampled_from(
    (b'"1"', b'"2"', b"*", b"k1", b"application/json", b"Bearer sheetal-token", b"Bearer \xff")
) | st.binary(max_size=12)
paths = st.sampled_from(
    ("/catalogue", "/catalogue/desk", "/catalogue/dock", "/records/sheetal:k1", "/status")
) | st.text(max_size=12).map(lambda text: f"/{text}")
edits = st.tuples(
    st.sampled_from(("PUT", "DELETE")),
    st.sampled_from(("/catalogue/desk", "/catalogue/dock", "/catalogue/stock")),
    st.sampled_from(([], [("if-match", b'"1"')], [("if-none-match", b"*")])),
    (pools | services).map(lambda value: json.dumps(value).encode()),
    st.just(True),
)
garbled = st.tuples(
    st.just("PUT"),
    st.just("/catalogue/desk"),
    st.lists(st.tuples(st.sampled_from(HEADERS), header_values), max_size=2),
    bodies,
    st.just(True),
)
anything = st.tuples(
    st.sampled_from(METHODS),
    paths,
    st.lists(st.tuples(st.sampled_from(HEADERS), header_values), max_size=3),
    bodies,
    st.booleans(),
)
requests = edits | edits | garbled | anything
Sent = list[tuple[str, str, list[tuple[str, bytes]], bytes, bool]]


async def async_send_all(api: Api, sent: Sent) -> Counter[int]:
    statuses: Counter[int] = Counter()
    for method, path, headers, body, signed in sent:
        raw = [(name.encode(), value) for name, value in headers]
        if signed:
            raw = [item for item in raw if item[0] != b"authorization"]
            raw.append((b"authorization", b"Bearer sheetal-token"))
        response = await api.raw(method, path, headers=raw, body=body)
        statuses[response.status] += 1
        assert response.status < 500, response
        if response.status >= 400 and method != "HEAD":
            assert response.headers["content-type"] == "application/problem+json"
            assert response.json()["status"] == response.status
    return statuses


def test_no_request_gives_a_server_error() -> None:
    seen: Counter[int] = Counter()

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(sent=st.lists(requests, min_size=1, max_size=12))
    def check(sent: Sent) -> None:
        async def async_main() -> None:
            async with open_api() as api:
                await api.call("PUT", "/catalogue/desk", POOL)
                await api.call("PUT", "/catalogue/stock", STOCK)
                seen.update(await async_send_all(api, sent))
                assert find_violations(api.app.node.state.fleet) == []

        trio.run(async_main)

    check()
    # Guards against inputs that never get past the first check.
    assert {200, 400, 401, 404, 405, 409, 412, 415, 422, 428} <= set(seen), seen


@settings(derandomize=True, deadline=None, max_examples=100)
@given(records=st.lists(st.binary(max_size=60) | json_values.map(lambda v: json.dumps(v).encode())))
def test_garbage_in_the_log_is_skipped_alike(records: list[bytes]) -> None:
    # Something else writes into the stream. Every reader passes the same records over, goes on,
    # and an edit that follows is in force.
    async def async_main() -> None:
        log = MemoryLog()
        log.append(*records)
        async with open_api(log) as api:
            assert (await api.call("PUT", "/catalogue/desk", POOL)).status == 200
            other = FleetState()
            for item in log.records:
                fold(other, LogRecord(offset=item.offset, at_ms=item.at_ms, data=item.data))
            assert digest(other) == digest(api.app.node.state.fleet)

    trio.run(async_main)
