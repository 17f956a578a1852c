"""Tests that the fold is deterministic and tolerates any bytes in the log."""

from __future__ import annotations

import heatherkeel.subjects  # noqa: F401
from heatherkeel.catalogue.models import EntryPut, PoolEntry
from heatherkeel.core.envelopes import encode, seal
from heatherkeel.core.models import (
    Accepted,
    Duplicate,
    Effect,
    LogRecord,
    Rejected,
    RejectReason,
    Settled,
    Skipped,
)
from heatherkeel.core.reducer import fold
from heatherkeel.core.state import FleetState, canonical_bytes, from_canonical_bytes

ENTRY = PoolEntry(owner="sheetal", size=3)


def put(*, expected: int, team: str = "sheetal", record_id: str | None = None) -> bytes:
    body = EntryPut(name="stock", expected_version=expected, team=team, entry=ENTRY)
    return encode(seal(body, author="test", now_ms=0, record_id=record_id))


def fold_all(state: FleetState, *data: bytes, at_ms: int = 5) -> list[Effect]:
    effects: list[Effect] = []
    for item in data:
        record = LogRecord(offset=state.next_offset, at_ms=at_ms, data=item)
        effects += fold(state, record)
    return effects


def outcome_of(effects: list[Effect]) -> Accepted | Rejected:
    [settled] = [effect for effect in effects if isinstance(effect, Settled)]
    return settled.outcome


def test_the_first_of_two_racing_edits_wins() -> None:
    # Two operators edit version 0 at the same time. The second edit must be rejected with the
    # version in force and change nothing.
    state = FleetState()
    first = outcome_of(fold_all(state, put(expected=0)))
    second = outcome_of(fold_all(state, put(expected=0)))
    assert isinstance(first, Accepted) and first.version == 1
    assert isinstance(second, Rejected) and second.reason is RejectReason.STALE_VERSION
    assert second.version == 1


def test_record_with_lost_answer_is_applied_once() -> None:
    # The answer to a successful append is lost, and the author appends the record again. The
    # second copy must be neither rejected as stale nor applied.
    state = FleetState()
    data = put(expected=0, record_id="one")
    fold_all(state, data)
    assert fold_all(state, data) == [Duplicate(record_id="one", offset=1)]
    assert state.catalogue.versions == {"stock": 1}


def test_outcome_is_kept_as_long_as_its_record_could_be_repeated() -> None:
    # An operator whose edit may have been accepted queries its outcome later. The outcome of the
    # first copy must be kept until no copy can be accepted any more.
    state = FleetState()
    fold_all(state, put(expected=0, record_id="one"), put(expected=0, record_id="two"))
    fold_all(state, put(expected=1, record_id="one"))
    one, two = state.outcomes["one"], state.outcomes["two"]
    assert (one.offset, one.version, one.reason) == (0, 1, "")
    assert (two.offset, two.version, two.reason) == (1, 1, RejectReason.STALE_VERSION)
    assert one.body_sha256 == two.body_sha256
    fold_all(state, b"", at_ms=1_000_000)
    assert state.outcomes == {}


def test_copy_after_its_lifetime_is_rejected() -> None:
    # A paused author appends its record after the fold has removed the id. Only the lifetime of
    # the record prevents it from being applied twice.
    state = FleetState()
    data = put(expected=0, record_id="one")
    fold_all(state, data)
    late = outcome_of(fold_all(state, data, at_ms=1_000_000))
    assert "one" not in state.seen
    assert isinstance(late, Rejected) and late.reason is RejectReason.EXPIRED


def test_records_that_cannot_be_read_are_skipped() -> None:
    state = FleetState()
    effects = fold_all(state, b"", b"\xff\xfe", b"[" * 100_000, b'{"id":1}', b"x" * 300_000)
    assert [type(effect) for effect in effects] == [Skipped] * 5
    assert state.next_offset == 5


def test_a_team_changes_only_its_own_entries() -> None:
    state = FleetState()
    fold_all(state, put(expected=0))
    refused = outcome_of(fold_all(state, put(expected=1, team="agency")))
    assert isinstance(refused, Rejected) and refused.reason is RejectReason.NOT_OWNER


def test_state_round_trips_through_canonical_bytes() -> None:
    state = FleetState()
    fold_all(state, put(expected=0))
    data = canonical_bytes(state)
    assert canonical_bytes(from_canonical_bytes(data)) == data
