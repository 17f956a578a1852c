"""Tests for the catalogue API: versions, owners and error responses."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from tests.fleets import small_fleet

from .fakes import TOKENS, Api, open_api, run

TOKEN_HEADER = (b"authorization", b"Bearer sheetal-token")
POOL = {"kind": "pool", "owner": "sheetal", "size": 3}
STOCK = {
    "kind": "service",
    "owner": "sheetal",
    "pool": "desk",
    "path_prefix": "/stock",
    "budget": {"min_serving": 2},
}


def test_an_entry_is_created_read_changed_and_deleted() -> None:
    async def scenario(api: Api) -> None:
        created = await api.call("PUT", "/catalogue/desk", POOL, if_none_match="*")
        assert (created.status, created.headers["etag"]) == (200, '"1"')
        assert created.json()["offset"] == 0
        read = await api.call("GET", "/catalogue/desk")
        assert (read.json(), read.headers["etag"]) == (
            POOL | {"service_class": "interactive"},
            '"1"',
        )
        changed = await api.call("PUT", "/catalogue/desk", POOL | {"size": 4}, if_match='"1"')
        assert (changed.status, changed.json()["version"]) == (200, 2)
        assert (await api.call("GET", "/catalogue/desk", if_none_match='"2"')).status == 304
        listed = (await api.call("GET", "/catalogue?kind=pool&owner=sheetal")).json()
        assert [(item["name"], item["version"]) for item in listed["entries"]] == [("desk", 2)]
        assert (await api.call("GET", "/catalogue?kind=team")).json()["entries"] == []
        deleted = await api.call("DELETE", "/catalogue/desk", if_match='"2"')
        assert (deleted.status, deleted.json()["version"]) == (200, 3)
        assert (await api.call("GET", "/catalogue/desk")).status == 404
        again = await api.call("PUT", "/catalogue/desk", POOL, if_none_match="*")
        assert again.json()["version"] == 4

    run(scenario)


def test_stale_edit_gets_the_version_in_force() -> None:
    # Two operators change the entry from version 1. The second gets 412 with the version in
    # force, since its edit would undo the first.
    async def scenario(api: Api) -> None:
        await api.call("PUT", "/catalogue/desk", POOL)
        await api.call("PUT", "/catalogue/desk", POOL | {"size": 4}, if_match='"1"')
        stale = await api.call("PUT", "/catalogue/desk", POOL | {"size": 5}, if_match='"1"')
        assert (stale.status, stale.headers["etag"], stale.json()["version"]) == (412, '"2"', 2)
        exists = await api.call("PUT", "/catalogue/desk", POOL, if_none_match="*")
        assert (exists.status, exists.headers["etag"]) == (412, '"2"')
        blind = await api.call("PUT", "/catalogue/desk", POOL)
        assert (blind.status, blind.headers["etag"]) == (428, '"2"')
        assert (await api.call("DELETE", "/catalogue/desk")).status == 428

    run(scenario)


def test_all_faults_are_listed_in_one_response() -> None:
    async def scenario(api: Api) -> None:
        entry = STOCK | {"owner": "nobody", "budget": {"min_serving": -1}, "pol": "x"}
        refused = await api.call("PUT", "/catalogue/stock", entry | {"path_prefix": "stock"})
        assert refused.headers["content-type"] == "application/problem+json"
        assert (refused.status, [fault["field"] for fault in refused.json()["faults"]]) == (
            422,
            ["entry.path_prefix", "entry.budget.min_serving", "entry.pol", "entry.owner"],
        )
        assert not api.log.records
        await api.call("PUT", "/catalogue/desk", POOL)
        await api.call("PUT", "/catalogue/stock", STOCK)
        entry = STOCK | {"budget": {"min_serving": 9}}
        refused = await api.call("PUT", "/catalogue/quotes", entry)
        assert (refused.status, [fault["field"] for fault in refused.json()["faults"]]) == (
            422,
            ["entry.budget.min_serving", "entry.path_prefix"],
        )
        in_use = await api.call("DELETE", "/catalogue/desk", if_match='"1"')
        assert (in_use.status, in_use.json()["detail"]) == (409, "name: in use by stock")

    run(scenario)


def test_team_edits_only_its_own_entries() -> None:
    async def scenario(api: Api) -> None:
        await api.call("PUT", "/catalogue/desk", POOL)
        other = TOKENS["agency"]
        for method in ("PUT", "DELETE"):
            theirs = await api.call(method, "/catalogue/desk", POOL, token=other, if_match='"1"')
            assert (theirs.status, theirs.json()["detail"]) == (
                403,
                "name: desk belongs to sheetal",
            )
        foreign = await api.call("PUT", "/catalogue/dock", POOL, token=other)
        assert foreign.status == 403
        assert (await api.call("GET", "/catalogue/desk", token=other)).status == 200

    run(scenario)


def test_an_edit_needs_a_token_and_a_loopback_read_does_not() -> None:
    async def scenario(api: Api) -> None:
        for token in (None, "wrong-token", ""):
            refused = await api.call("PUT", "/catalogue/desk", POOL, token=token)
            assert (refused.status, refused.headers["www-authenticate"]) == (401, "Bearer")
        basic = [(b"authorization", b"Basic sheetal-token")]
        assert (await api.raw("PUT", "/catalogue/desk", headers=basic)).status == 401
        assert not api.log.records
        assert (await api.call("GET", "/catalogue", token=None)).status == 200
        assert (await api.call("GET", "/catalogue", token="wrong-token")).status == 401

    run(scenario)


def test_reads_need_a_token_on_a_non_loopback_address() -> None:
    async def async_main() -> None:
        async with open_api(bind="0.0.0.0:0") as api:
            for path in ("/catalogue", "/catalogue/desk", "/records/x", "/status"):
                assert (await api.call("GET", path, token=None)).status == 401
            assert (await api.call("GET", "/status")).status == 200

    trio.run(async_main)


@pytest.mark.parametrize(
    ("headers", "detail"),
    [
        ({"if_match": "1"}, "if-match: "),
        ({"if_match": 'W/"1"'}, "if-match: "),
        ({"if_match": '"1", "2"'}, "if-match: "),
        ({"if_match": "*"}, "if-match: "),
        ({"if_match": '"99999999999999"'}, "if-match: "),
        ({"if_none_match": '"1"'}, "if-none-match: "),
        ({"if_match": '"1"', "if_none_match": "*"}, "if-none-match: "),
        ({"idempotency_key": "a b"}, "idempotency-key: "),
        ({"idempotency_key": "x" * 61}, "idempotency-key: "),
    ],
)
def test_invalid_header_is_named(headers: dict[str, str], detail: str) -> None:
    async def scenario(api: Api) -> None:
        refused = await api.call("PUT", "/catalogue/desk", POOL, **headers)
        assert (refused.status, refused.json()["detail"][: len(detail)]) == (400, detail)
        assert not api.log.records

    run(scenario)


@pytest.mark.parametrize(
    ("body", "detail"),
    [
        (b"", "entry: not JSON: Input data was truncated"),
        (b'{"kind": "pool",}', "entry: not JSON: JSON is malformed: "),
        (
            b'{"kind": "pool"} x',
            "entry: not JSON: JSON is malformed: trailing characters (byte ",
        ),
        (b'{"kind": "po\xffol"}', "entry: not JSON: "),
        (b"[" * 60_000, "entry: not JSON: "),
        (b"[]", "entry: "),
        (b"{}", "entry: "),
        (b'{"kind": "cluster"}', "entry"),
    ],
)
def test_invalid_body_is_explained(body: bytes, detail: str) -> None:
    async def scenario(api: Api) -> None:
        refused = await api.raw("PUT", "/catalogue/desk", headers=[TOKEN_HEADER], body=body)
        assert refused.status == 422
        assert refused.json()["detail"].startswith(detail)

    run(scenario)


def test_limits_methods_and_types() -> None:
    async def scenario(api: Api) -> None:
        large = await api.call("PUT", "/catalogue/desk", POOL | {"note": "x" * 70_000})
        assert (large.status, large.json()["limit_bytes"]) == (413, 65_536)
        text = await api.call("PUT", "/catalogue/desk", POOL, content_type="text/plain")
        assert text.status == 415
        utf8 = "Application/JSON; charset=utf-8"
        assert (await api.call("PUT", "/catalogue/desk", POOL, content_type=utf8)).status == 200
        patch = await api.call("PATCH", "/catalogue/desk", POOL)
        assert (patch.status, patch.headers["allow"]) == (405, "DELETE, GET, HEAD, PUT")
        assert (await api.call("POST", "/status")).headers["allow"] == "GET, HEAD"
        assert (await api.call("GET", "/catalogue/desk/x")).status == 404
        for name in ("Desk", "desk\n", "-", "x" * 65, ""):
            bad = await api.call("PUT", f"/catalogue/{name}", POOL)
            assert (bad.status, bad.json()["faults"][0]["field"]) == (422, "name")

    run(scenario)


def test_incomplete_body_times_out() -> None:
    # The caller disappears halfway through its body. Its connection must not stay open forever,
    # and nothing may be accepted.
    async def async_main() -> None:
        async with open_api() as api:
            answer = await api.raw(
                "PUT", "/catalogue/desk", headers=[TOKEN_HEADER], body=b'{"kind"', ends=False
            )
            assert answer.status == 408
            assert not api.log.records

    trio.run(async_main, clock=trio.testing.MockClock(autojump_threshold=0.01))


def test_head_has_the_headers_of_get() -> None:
    async def scenario(api: Api) -> None:
        await api.call("PUT", "/catalogue/desk", POOL)
        read = await api.call("GET", "/catalogue/desk")
        head = await api.call("HEAD", "/catalogue/desk")
        assert (head.status, head.headers) == (200, read.headers)

    run(scenario)


def test_requests_are_refused_until_the_log_is_read() -> None:
    async def async_main() -> None:
        async with open_api(caught_up=False) as api:
            for method, path in (("GET", "/catalogue/desk"), ("PUT", "/catalogue/desk")):
                refused = await api.call(method, path, POOL)
                assert (refused.status, refused.headers["retry-after"]) == (503, "5")

    trio.run(async_main)


def test_status_counts_instances_and_gives_a_digest_on_request() -> None:
    async def scenario(api: Api) -> None:
        await api.call("PUT", "/catalogue/desk", POOL)
        status = (await api.call("GET", "/status?digest=true")).json()
        assert status["offset_in_force"] == 0
        assert status["platform"]["reachable"] is True
        assert len(status["digest"]) == 64
        assert "digest" not in (await api.call("GET", "/status")).json()

    run(scenario)


def test_status_shows_waves_and_pending_drains() -> None:
    async def scenario(api: Api) -> None:
        log = small_fleet()
        log.must(log.drain("a0"))
        log.wait(500)
        api.app.node.state.fleet = log.state
        status = (await api.call("GET", "/status")).json()
        assert status["pools"] == {"desk": {"serving": 5, "draining": 1}}
        assert status["entry_instances"]["entry-a"]["reported_age_ms"] == 500
        wave = status["waves"]["desk"]
        assert (wave["number"], wave["age_ms"], wave["drained"]) == (1, 500, 1)
        drain = status["drains"]["a0"]
        assert drain["waiting_for"] == ["entry-a", "entry-b", "entry-c"]
        assert (drain["purpose"], drain["age_ms"]) == ("maintenance", 500)

    run(scenario)


def test_each_refusal_is_counted_under_its_reason() -> None:
    async def scenario(api: Api) -> None:
        counted: list[str] = []
        api.app.on_refusal = counted.append
        await api.call("PUT", "/catalogue/desk", POOL | {"size": -1})
        await api.call("PUT", "/catalogue/stock", STOCK)
        await api.call("PUT", "/catalogue/desk", POOL)
        await api.call("GET", "/nowhere")
        assert counted == ["invalid", "by_fold", "no_such_path"]

    run(scenario)
