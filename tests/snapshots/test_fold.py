"""Tests of the snapshot records: one author at a time, wrong claims and damaged data rejected."""

from __future__ import annotations

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

import heatherkeel.subjects  # noqa: F401
from heatherkeel.core.envelopes import encode, seal
from heatherkeel.core.models import (
    Effect,
    LogRecord,
    RecordBody,
    Rejected,
    RejectReason,
    Settled,
)
from heatherkeel.core.reducer import fold
from heatherkeel.core.state import FleetState, canonical_bytes
from heatherkeel.membership.models import EntryJoin, EntryRenew
from heatherkeel.snapshots import codec
from heatherkeel.snapshots.const import FORMAT, MIN_MARK_INTERVAL_MS
from heatherkeel.snapshots.models import (
    ChunkRecord,
    ManifestRecord,
    SnapshotComplete,
    SnapshotMark,
    SnapshotMarked,
    SnapshotVerified,
)


class Log:
    """An in-memory log with one folded state."""

    def __init__(self) -> None:
        self.state = FleetState()
        self.records: list[LogRecord] = []
        self.now_ms = 0

    def append(self, body: RecordBody) -> list[Effect]:
        data = encode(seal(body, author="e-1", now_ms=self.now_ms, record_id=f"r{self.end}"))
        self.records.append(LogRecord(offset=self.end, at_ms=self.now_ms, data=data))
        return fold(self.state, self.records[-1])

    @property
    def end(self) -> int:
        return len(self.records)

    def mark(self, instance: str = "e-1", previous: int | None = None) -> list[Effect]:
        newest = self.state.snapshots.newest
        known = -1 if newest is None else newest.offset
        body = SnapshotMark(
            instance=instance,
            incarnation=f"i-{instance}",
            previous_offset=known if previous is None else previous,
        )
        return self.append(body)


def join(number: int) -> EntryJoin:
    name = f"e-{number}"
    return EntryJoin(instance=name, incarnation="1", zone="a", peer_address="", lease_ms=9)


def claim_of(marked: SnapshotMarked, chunks: list[ChunkRecord]) -> SnapshotComplete:
    return SnapshotComplete(
        instance=marked.mark.instance,
        incarnation=marked.mark.incarnation,
        offset=marked.mark.offset,
        digest=marked.mark.digest,
        state_bytes=len(marked.state),
        chunk_offsets=list(range(len(chunks))),
    )


def write(marked: SnapshotMarked) -> tuple[ManifestRecord, list[ChunkRecord]]:
    chunks = codec.split_into_chunks(codec.pack(marked.state), offset=marked.mark.offset)
    manifest = ManifestRecord(
        format=FORMAT, claim=claim_of(marked, chunks), at_ms=marked.mark.at_ms, endorser="e-2"
    )
    return manifest, chunks


def marked_in(effects: list[Effect]) -> SnapshotMarked:
    [marked] = [effect for effect in effects if isinstance(effect, SnapshotMarked)]
    return marked


def refusal_in(effects: list[Effect]) -> RejectReason:
    [settled] = [effect for effect in effects if isinstance(effect, Settled)]
    assert isinstance(settled.outcome, Rejected)
    return settled.outcome.reason


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    before=st.lists(st.integers(0, 9), max_size=20), after=st.lists(st.integers(0, 9), max_size=20)
)
def test_a_restored_state_equals_the_fold_byte_for_byte(
    before: list[int], after: list[int]
) -> None:
    # A newcomer starts from a snapshot at any offset and folds the tail. One byte of difference
    # would let it decide otherwise than the others for good.
    log = Log()
    for number in before:
        log.append(join(number))
        log.now_ms += 7_000
    manifest, chunks = write(marked_in(log.mark()))
    restored = codec.load(manifest, list(chunks)).unwrap()
    assert canonical_bytes(restored) == canonical_bytes(log.state)
    for number in after:
        log.append(EntryRenew(instance=f"e-{number}", incarnation="1", offset_in_force=1))
        log.now_ms += 7_000
    log.append(manifest.claim)
    for record in log.records[restored.next_offset :]:
        fold(restored, record)
    assert canonical_bytes(restored) == canonical_bytes(log.state)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(position=st.integers(0, 10_000), flip=st.integers(1, 255))
def test_a_damaged_chunk_never_loads(position: int, flip: int) -> None:
    # One byte on the way flips. The newcomer must notice it and take an older snapshot.
    log = Log()
    log.append(join(1))
    manifest, [chunk] = write(marked_in(log.mark()))
    data = bytearray(chunk.data)
    data[position % len(data)] ^= flip
    damaged = ChunkRecord(offset=chunk.offset, index=chunk.index, data=bytes(data))
    assert isinstance(codec.load(manifest, [damaged]), Err)


def test_missing_swapped_and_foreign_chunks_never_load() -> None:
    # A writer stops between two chunks, a chunk is out of retention, or the chunks of two
    # snapshots are mixed in the stream.
    log = Log()
    first, first_chunks = write(marked_in(log.mark()))
    log.now_ms += MIN_MARK_INTERVAL_MS
    second, second_chunks = write(marked_in(log.mark()))
    assert isinstance(codec.load(second, list(second_chunks)), Ok)
    for wrong in ([], [None], list(first_chunks), [*second_chunks, *second_chunks]):
        assert isinstance(codec.load(second, wrong), Err)
    assert codec.decode_record(b"\xc1nonsense") is None
    assert codec.decode_record(codec.encode_record(first)) == first


def test_undamaged_but_different_state_never_loads() -> None:
    # The chunk offsets refer to an undamaged but different state, because the platform lost
    # records and reused their offsets.
    log = Log()
    log.append(join(1))
    manifest, _ = write(marked_in(log.mark()))
    other = FleetState(next_offset=log.state.next_offset)
    chunks = codec.split_into_chunks(codec.pack(canonical_bytes(other)), offset=1)
    assert codec.load(manifest, list(chunks)) == Err(codec.LoadFailure.WRONG_DIGEST)


def test_of_two_racing_marks_the_first_one_is_written() -> None:
    # Two entry instances mark a snapshot at the same time. The second mark names a previous mark
    # that is no longer the newest, so it is rejected.
    log = Log()
    marked_in(log.mark("e-1", previous=-1))
    log.now_ms += MIN_MARK_INTERVAL_MS
    assert refusal_in(log.mark("e-2", previous=-1)) is RejectReason.STALE_VERSION


def test_too_frequent_marks_are_refused() -> None:
    # Each mark makes every reader encode its state; a faulty author must not overload them.
    log = Log()
    log.mark()
    log.now_ms += MIN_MARK_INTERVAL_MS - 1
    assert refusal_in(log.mark()) is RejectReason.CONFLICT
    log.now_ms += 1
    marked_in(log.mark())


def test_a_wrong_claim_is_refused_by_the_fold() -> None:
    # A writer with a corrupted state claims a wrong digest. Every reader rejects it by its own
    # digest, so that no joining instance loads the wrong state.
    log = Log()
    marked = marked_in(log.mark())
    manifest, _ = write(marked)
    wrong = msgspec.structs.replace(manifest.claim, digest="0" * 64)
    assert refusal_in(log.append(wrong)) is RejectReason.CONFLICT
    assert log.state.snapshots.newest_whole is None
    effects = log.append(manifest.claim)
    assert any(isinstance(effect, SnapshotVerified) for effect in effects)


def test_an_overtaken_author_is_refused() -> None:
    # An author is paused between its mark and its last chunk, and another one marks meanwhile.
    log = Log()
    manifest, _ = write(marked_in(log.mark("e-1")))
    log.now_ms += MIN_MARK_INTERVAL_MS
    log.mark("e-2")
    assert refusal_in(log.append(manifest.claim)) is RejectReason.STALE_VERSION
    log.now_ms += MIN_MARK_INTERVAL_MS
    log.mark("e-1")
    assert refusal_in(log.append(manifest.claim)) is RejectReason.STALE_VERSION


def test_a_claim_by_another_than_the_author_is_refused() -> None:
    # A restarted entry instance has the id of the author but not its incarnation.
    log = Log()
    manifest, _ = write(marked_in(log.mark("e-1")))
    foreign = msgspec.structs.replace(manifest.claim, incarnation="i-other")
    assert refusal_in(log.append(foreign)) is RejectReason.STALE_VERSION
