"""Tests for edits of unknown outcome: reported correctly and applied at most once."""

from __future__ import annotations

import trio
import trio.testing

from heatherkeel.admin.const import EDIT_LIFETIME_MS
from heatherkeel.catalogue.models import EntryPut, PoolEntry
from heatherkeel.core.envelopes import encode, seal
from heatherkeel.fleetlog.errors import PlatformFailure

from .fakes import Api, MemoryLog, open_api, run

POOL = {"kind": "pool", "owner": "sheetal", "size": 3}


def record_of(key: str, *, size: int) -> bytes:
    entry = PoolEntry(owner="sheetal", size=size)
    body = EntryPut(name="desk", expected_version=0, team="sheetal", entry=entry)
    return encode(
        seal(
            body,
            author="entry-b",
            now_ms=1_000,
            record_id=f"sheetal:{key}",
            lifetime_ms=EDIT_LIFETIME_MS,
        )
    )


def test_retry_under_the_same_key_is_applied_once() -> None:
    # The first answer was lost and the operator retries under the same key. The retry gets the
    # offset and version of the first attempt, and nothing else is appended.
    async def scenario(api: Api) -> None:
        first = await api.call("PUT", "/catalogue/desk", POOL, idempotency_key="k1")
        again = await api.call(
            "PUT", "/catalogue/desk", POOL, if_none_match="*", idempotency_key="k1"
        )
        assert (again.status, again.json()) == (200, first.json())
        assert len(api.log.records) == 1
        status = await api.call("GET", "/records/sheetal:k1")
        assert (status.json()["accepted"], status.json()["version"]) == (True, 1)

    run(scenario)


def test_another_edit_under_a_used_key_is_refused() -> None:
    async def scenario(api: Api) -> None:
        await api.call("PUT", "/catalogue/desk", POOL, idempotency_key="k1")
        other = await api.call(
            "PUT", "/catalogue/desk", POOL | {"size": 9}, if_match='"1"', idempotency_key="k1"
        )
        assert (other.status, other.json()["type"]) == (
            422,
            "urn:heatherkeel:problem:idempotency_key_reused",
        )

    run(scenario)


def test_edit_under_a_key_used_elsewhere_is_not_reported_as_accepted() -> None:
    # Two operators use one key for two edits, through two entry instances. The fold ignores the
    # second record, so its author must not get the first one's "accepted".
    async def async_main() -> None:
        log = MemoryLog()
        async with open_api(log) as api:
            log.records.clear()
            original = log.async_append

            async def async_append_after_other(stream: str, records: list[bytes]) -> object:
                log.append(record_of("k1", size=7))
                return await original(stream, records)

            log.async_append = async_append_after_other  # type: ignore[method-assign, assignment]
            mine = await api.call("PUT", "/catalogue/desk", POOL, idempotency_key="k1")
            assert mine.status == 422
            assert (await api.call("GET", "/catalogue/desk")).json()["size"] == 7

    trio.run(async_main)


def test_failed_append_is_reported_as_not_accepted() -> None:
    # The platform answers with an error, so nothing was appended. Under the operator's own key
    # this may be a retry, and the first attempt may have been accepted.
    async def scenario(api: Api) -> None:
        api.log.failure = PlatformFailure.REFUSED
        refused = await api.call("PUT", "/catalogue/desk", POOL)
        assert (refused.status, refused.headers["retry-after"]) == (503, "5")
        assert "was not accepted, and will not be later" in refused.json()["detail"]
        keyed = await api.call("PUT", "/catalogue/desk", POOL, idempotency_key="k1")
        assert keyed.status == 503
        assert "An earlier attempt under the same key may have been" in keyed.json()["detail"]
        api.log.failure = None
        assert (await api.call("GET", "/catalogue/desk")).status == 404

    run(scenario)


def test_unconfirmed_append_is_reported_as_unknown_until_read_back() -> None:
    # Appends take effect, but no answer arrives. The operator gets "may have been accepted" and
    # the key; once the log is readable, a retry returns the first version instead of a second.
    async def async_main() -> None:
        log = MemoryLog(failure=PlatformFailure.UNKNOWN, lose_answers=True)
        async with open_api(log, caught_up=False) as api:
            node = api.app.node
            node.clock.update(1_000)
            node.follower.caught_up.set()
            unknown = await api.call("PUT", "/catalogue/desk", POOL)
            assert (unknown.status, unknown.headers["retry-after"]) == (503, "5")
            problem = unknown.json()
            assert "may have been accepted" in problem["detail"]
            missing = await api.call("GET", f"/records/{problem['record']}")
            assert missing.status == 404
            log.failure = None
            async with trio.open_nursery() as nursery:
                node.follower.start(nursery)
                while node.state.fleet.next_offset < len(log.records):
                    await trio.lowlevel.checkpoint()
                nursery.cancel_scope.cancel()
            record = await api.call("GET", f"/records/{problem['record']}")
            assert record.json()["accepted"] is True
            again = await api.call(
                "PUT", "/catalogue/desk", POOL, idempotency_key=problem["idempotency_key"]
            )
            assert (again.status, again.json()["version"]) == (200, 1)

    trio.run(async_main, clock=trio.testing.MockClock(autojump_threshold=0.01))


def test_retry_while_the_first_attempt_waits_is_in_progress() -> None:
    async def async_main() -> None:
        log = MemoryLog(failure=PlatformFailure.UNKNOWN)
        async with open_api(log) as api, trio.open_nursery() as nursery:
            nursery.start_soon(
                lambda: api.call("PUT", "/catalogue/desk", POOL, idempotency_key="k1")
            )
            while "sheetal:k1" not in api.app.node.writer.waiting:
                await trio.lowlevel.checkpoint()
            again = await api.call("PUT", "/catalogue/desk", POOL, idempotency_key="k1")
            assert (again.status, again.headers["retry-after"]) == (409, "1")
            nursery.cancel_scope.cancel()

    trio.run(async_main)
