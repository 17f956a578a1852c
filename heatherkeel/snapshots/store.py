"""Appends to the snapshot stream of the platform's log, and loads the newest usable snapshot."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field

import trio
from result import Err, Ok, Result

from heatherkeel.core.state import FleetState
from heatherkeel.fleetlog.client import PlatformClient
from heatherkeel.fleetlog.errors import PlatformError, PlatformFailure
from heatherkeel.helpers.backoff import Backoff

from . import codec
from .const import APPEND_TRIES, FORMAT, MAX_SCANNED_RECORDS, SCAN_RECORDS, STREAM_SUFFIX
from .models import ManifestRecord, RefusalRecord, StreamRecord

_LOGGER = logging.getLogger(__name__)


@dataclass(kw_only=True)
class Scan:
    """Records read so far by a backward scan; `low` is the lowest offset read."""

    low: int
    oldest: int
    records: dict[int, StreamRecord | None] = field(default_factory=dict)

    def manifests(self) -> list[ManifestRecord]:
        """Return all manifests, the newest state first."""
        found = [item for item in self.records.values() if isinstance(item, ManifestRecord)]
        return sorted(found, key=lambda manifest: -manifest.claim.offset)

    def supporters(self, manifest: ManifestRecord) -> set[str]:
        """Return the author and the endorsers of a snapshot."""
        same = [other for other in self.manifests() if other.claim == manifest.claim]
        return {manifest.claim.instance} | {other.endorser for other in same}

    def is_trusted(self, manifest: ManifestRecord) -> bool:
        """Return whether more entry instances support a snapshot than refuse it.

        A process with a wrong state endorses its own wrong claim and refuses the correct claims
        of others, so a single endorsement or refusal is not decisive.
        """
        claim = manifest.claim
        supporters = self.supporters(manifest)
        refusers = {
            refusal.instance
            for refusal in self.records.values()
            if isinstance(refusal, RefusalRecord)
            and refusal.offset == claim.offset
            and refusal.digest != claim.digest
        }
        return len(supporters - refusers) > len(refusers)


class SnapshotStore:
    """Reads and appends records of the snapshot stream."""

    def __init__(self, *, client: PlatformClient, stream: str) -> None:
        self.client = client
        self.stream = stream + STREAM_SUFFIX

    async def async_append(self, record: StreamRecord) -> Result[int, PlatformError]:
        """Append one record and return its offset.

        If the answer to an append is lost, the retry can leave a second copy. This is harmless:
        chunks are found by the offsets in their manifest, and copies of a manifest are equal.
        """
        data = codec.encode_record(record)
        backoff = Backoff(first_s=0.1, limit_s=2.0)
        for _ in range(APPEND_TRIES):
            outcome = await self.client.async_append(self.stream, [data])
            match outcome:
                case Ok(appended):
                    return Ok(appended.first_offset)
                case Err(error):
                    last = error
            await trio.sleep(backoff.next_s())
        return Err(last)

    async def async_records_from(self, offset: int) -> Iterable[StreamRecord | None]:
        """Return the records from an offset on; an empty list if they can't be read."""
        outcome = await self.client.async_read(
            self.stream, offset=offset, max_records=SCAN_RECORDS, wait_ms=0
        )
        match outcome:
            case Ok(answer):
                return [codec.decode_record(stored.data) for stored in answer.records]
            case Err(_):
                return []

    async def async_load_newest(self, *, above: int) -> Result[FleetState | None, PlatformError]:
        """Return the newest trusted state whose next offset is above `above`; None if none.

        The stream is read backwards from its end, so that a start doesn't read all retained
        snapshots.
        """
        bounds = await self._async_bounds()
        if isinstance(bounds, Err):
            return bounds
        scan = bounds.ok_value
        tried: set[int] = set()
        stop = max(scan.oldest, scan.low - MAX_SCANNED_RECORDS)
        while scan.low > stop:
            await self._async_extend(scan)
            for manifest in scan.manifests():
                offset = manifest.claim.offset
                if offset in tried or manifest.format != FORMAT or offset + 1 <= above:
                    continue
                if not scan.is_trusted(manifest):
                    continue
                tried.add(offset)
                state = await self._async_load(scan, manifest)
                if state is not None:
                    return Ok(state)
        return Ok(None)

    async def async_is_outvoted(self, *, offset: int, digest: str) -> bool:
        """Return whether other instances agree on a state at this offset other than `digest`.

        Reads only the end of the stream, which has the verdicts on the newest claim.
        """
        bounds = await self._async_bounds()
        if isinstance(bounds, Err):
            return False
        scan = bounds.ok_value
        await self._async_extend(scan)
        return any(
            manifest.claim.digest != digest and scan.is_trusted(manifest)
            for manifest in scan.manifests()
            if manifest.claim.offset == offset and len(scan.supporters(manifest)) > 1
        )

    async def _async_bounds(self) -> Result[Scan, PlatformError]:
        """Return an empty scan positioned at the end of the stream."""
        oldest = 0
        while True:
            outcome = await self.client.async_read(
                self.stream, offset=oldest, max_records=1, wait_ms=0
            )
            match outcome:
                case Ok(answer):
                    return Ok(Scan(low=answer.next, oldest=answer.oldest))
                case Err(error) if error.failure is PlatformFailure.OUT_OF_RETENTION:
                    oldest = error.oldest
                case Err(error):
                    return Err(error)

    async def _async_extend(self, scan: Scan) -> None:
        """Extend the scan by one step towards older records."""
        start = max(scan.oldest, scan.low - SCAN_RECORDS)
        outcome = await self.client.async_read(
            self.stream, offset=start, max_records=scan.low - start, wait_ms=0
        )
        if isinstance(outcome, Ok):
            for stored in outcome.ok_value.records:
                scan.records[stored.offset] = codec.decode_record(stored.data)
        scan.low = start

    async def _async_load(self, scan: Scan, manifest: ManifestRecord) -> FleetState | None:
        chunks = [await self._async_chunk(scan, offset) for offset in manifest.claim.chunk_offsets]
        match codec.load(manifest, chunks):
            case Ok(state):
                return state
            case Err(failure):
                _LOGGER.error(
                    "snapshot ignored: %s",
                    failure,
                    extra={"event": "snapshot_unusable", "offset": manifest.claim.offset},
                )
                return None

    async def _async_chunk(self, scan: Scan, offset: int) -> StreamRecord | None:
        if offset in scan.records:
            return scan.records[offset]
        outcome = await self.client.async_read(self.stream, offset=offset, max_records=1, wait_ms=0)
        if isinstance(outcome, Ok) and outcome.ok_value.records:
            return codec.decode_record(outcome.ok_value.records[0].data)
        return None
