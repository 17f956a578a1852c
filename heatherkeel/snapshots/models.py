"""Records and folded state of snapshots, and the records of the snapshot stream."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated

import msgspec
from msgspec import Meta

from heatherkeel.core.models import Effect, RecordBody

Offset = Annotated[int, Meta(ge=0)]
Sha256 = Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]


class SnapshotMark(RecordBody, frozen=True, kw_only=True):
    """An entry instance offers to write a snapshot of the state at this record's own offset.

    `previous_offset` is the newest mark that the instance knew, -1 if none. If several instances
    offer at the same time, the first mark is accepted and the others are rejected.
    """

    instance: str
    incarnation: str
    previous_offset: Annotated[int, Meta(ge=-1)]


class SnapshotComplete(RecordBody, frozen=True, kw_only=True):
    """The author of a mark has written all chunks; `digest` is the SHA-256 of the state."""

    instance: str
    incarnation: str
    offset: Offset
    digest: Sha256
    state_bytes: Annotated[int, Meta(ge=1)]
    chunk_offsets: Annotated[list[Offset], Meta(min_length=1, max_length=8192)]


@dataclass(kw_only=True)
class MarkedSnapshot:
    """A snapshot started at `offset`; `digest` is the one that the fold computed there."""

    offset: int
    digest: str
    instance: str
    incarnation: str
    at_ms: int
    whole: bool = False


@dataclass(kw_only=True)
class SnapshotsState:
    """The newest mark, and the newest snapshot whose claim the fold has verified."""

    newest: MarkedSnapshot | None = None
    newest_whole: MarkedSnapshot | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotMarked(Effect):
    """The state at `offset`, for the author of the mark to write."""

    mark: MarkedSnapshot
    state: bytes = field(repr=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotVerified(Effect):
    """The fold verified the claim, so another entry instance can endorse it."""

    mark: MarkedSnapshot
    claim: SnapshotComplete


class ChunkRecord(msgspec.Struct, frozen=True, kw_only=True, tag="chunk"):
    """One piece of the packed state at `offset`."""

    offset: Offset
    index: Annotated[int, Meta(ge=0)]
    data: bytes


class ManifestRecord(msgspec.Struct, frozen=True, kw_only=True, tag="manifest"):
    """An endorser's confirmation that a snapshot is complete, with the offsets of its chunks."""

    format: int
    claim: SnapshotComplete
    at_ms: int
    endorser: str


class RefusalRecord(msgspec.Struct, frozen=True, kw_only=True, tag="refusal"):
    """An entry instance computed a digest at `offset` that differs from the claimed one."""

    offset: Offset
    digest: Sha256
    instance: str


StreamRecord = ChunkRecord | ManifestRecord | RefusalRecord
