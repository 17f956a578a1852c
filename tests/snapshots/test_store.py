"""Tests that only complete and trusted snapshots are loaded from the snapshot stream."""

from __future__ import annotations

import msgspec
from result import Ok

import heatherkeel.subjects  # noqa: F401
from heatherkeel.core.state import canonical_bytes
from heatherkeel.fleetlog.errors import PlatformFailure
from heatherkeel.snapshots.const import MIN_MARK_INTERVAL_MS, SCAN_RECORDS
from heatherkeel.snapshots.models import ManifestRecord, RefusalRecord, SnapshotMarked
from heatherkeel.snapshots.store import SnapshotStore
from tests.fleetlog.fake import LOST_ANSWER, FakeClient, run

from .test_fold import Log, join, marked_in, write


class Stream:
    """A snapshot stream, and a log whose states are written to it."""

    def __init__(self) -> None:
        self.client = FakeClient()
        self.store = SnapshotStore(client=self.client, stream="fleet")
        self.log = Log()

    def mark(self) -> SnapshotMarked:
        self.log.now_ms += MIN_MARK_INTERVAL_MS
        self.log.append(join(self.log.end))
        return marked_in(self.log.mark())

    async def write(self, marked: SnapshotMarked, *, skip_chunk: bool = False) -> ManifestRecord:
        manifest, chunks = write(marked)
        offsets = [(await self.store.async_append(chunk)).unwrap() for chunk in chunks]
        if skip_chunk:
            offsets = [offset + 1 for offset in offsets]
        claim = msgspec.structs.replace(manifest.claim, chunk_offsets=offsets)
        manifest = msgspec.structs.replace(manifest, claim=claim)
        await self.store.async_append(manifest)
        return manifest

    async def found_offset(self, above: int = 0) -> int | None:
        loaded = await self.store.async_load_newest(above=above)
        assert isinstance(loaded, Ok)
        return None if loaded.ok_value is None else loaded.ok_value.next_offset - 1


def test_newest_complete_snapshot_is_found_among_other_records() -> None:
    # The stream also has a snapshot with a missing chunk, unreadable records, dropped first
    # records and copies left by lost answers.
    async def scenario() -> None:
        stream = Stream()
        older = await stream.write(stream.mark())
        stream.client.plan = [LOST_ANSWER, PlatformFailure.NOT_SENT]
        good = stream.mark()
        state = canonical_bytes(stream.log.state)
        await stream.write(good)
        await stream.write(stream.mark(), skip_chunk=True)
        for number in range(3 * SCAN_RECORDS):
            stream.client.platform.append("fleet-snapshots", [b"\xc1%d" % number])
        stream.client.platform.faults.retain_records = 3 * SCAN_RECORDS + 6
        stream.client.platform.append("fleet-snapshots", [b""])
        loaded = await stream.store.async_load_newest(above=0)
        assert loaded.ok() is not None and canonical_bytes(loaded.unwrap()) == state  # type: ignore[arg-type]
        assert await stream.found_offset(above=good.mark.offset + 1) is None
        assert older.claim.offset < good.mark.offset

    run(scenario)


def test_snapshot_that_others_refuse_is_ignored() -> None:
    # A process with a corrupted state endorses its own claim, and two others refuse it. A joining
    # instance must load the older snapshot.
    async def scenario() -> None:
        stream = Stream()
        older = await stream.write(stream.mark())
        wrong = await stream.write(stream.mark())
        for name in ("e-8", "e-9"):
            refusal = RefusalRecord(offset=wrong.claim.offset, digest="0" * 64, instance=name)
            await stream.store.async_append(refusal)
        assert await stream.found_offset() == older.claim.offset

    run(scenario)


def test_one_wrong_process_cannot_refuse_a_right_snapshot() -> None:
    # A process with a wrong state also refuses correct snapshots; two supporters outvote it.
    async def scenario() -> None:
        stream = Stream()
        right = await stream.write(stream.mark())
        refusal = RefusalRecord(offset=right.claim.offset, digest="0" * 64, instance="e-9")
        await stream.store.async_append(refusal)
        assert await stream.found_offset() == right.claim.offset

    run(scenario)


def test_an_unreachable_platform_is_not_an_empty_stream() -> None:
    # A joining instance that took an outage for an empty stream would try to fold from a first
    # record that the log has already dropped.
    async def scenario() -> None:
        stream = Stream()
        stream.client.readable = False
        loaded = await stream.store.async_load_newest(above=0)
        assert loaded.err() is not None

    run(scenario)
