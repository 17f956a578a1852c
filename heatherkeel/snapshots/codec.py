"""Splits a compressed state into chunks, and restores it after checking its digest."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Sequence
from enum import StrEnum

import msgspec
from result import Err, Ok, Result

from heatherkeel.core.state import FleetState, from_canonical_bytes

from .const import CHUNK_BYTES, MAX_STATE_BYTES, PACK_LEVEL
from .models import ChunkRecord, ManifestRecord, MarkedSnapshot, StreamRecord

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(StreamRecord)


class LoadFailure(StrEnum):
    """Why a snapshot can't be loaded."""

    DAMAGED_CHUNK = "damaged_chunk"
    MISSING_CHUNK = "missing_chunk"
    WRONG_DIGEST = "wrong_digest"
    WRONG_SHAPE = "wrong_shape"


def encode_record(record: StreamRecord) -> bytes:
    """Encode one record of the snapshot stream."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> StreamRecord | None:
    """Decode one record of the snapshot stream; None if the bytes are not a valid record."""
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None


def pack(state: bytes) -> bytes:
    """Compress canonical bytes."""
    return zlib.compress(state, PACK_LEVEL)


def unpack(packed: bytes) -> bytes | None:
    """Return the canonical bytes; None if they are damaged, truncated or too large."""
    unpacker = zlib.decompressobj()
    try:
        state = unpacker.decompress(packed, MAX_STATE_BYTES)
    except zlib.error:
        return None
    return state if unpacker.eof and not unpacker.unused_data else None


def split_into_chunks(packed: bytes, *, offset: int) -> list[ChunkRecord]:
    """Split the packed state at `offset` into chunks."""
    return [
        ChunkRecord(offset=offset, index=index, data=packed[start : start + CHUNK_BYTES])
        for index, start in enumerate(range(0, len(packed), CHUNK_BYTES))
    ]


def load(
    manifest: ManifestRecord, chunks: Sequence[StreamRecord | None]
) -> Result[FleetState, LoadFailure]:
    """Join the chunks of a manifest into the folded state after its mark.

    The digest is checked before the state is used: a state with one wrong byte would decide
    later records differently from all other readers.
    """
    claim = manifest.claim
    if len(chunks) != len(claim.chunk_offsets):
        return Err(LoadFailure.MISSING_CHUNK)
    parts: list[bytes] = []
    for chunk in chunks:
        if not isinstance(chunk, ChunkRecord):
            return Err(LoadFailure.MISSING_CHUNK)
        parts.append(chunk.data)
    data = unpack(b"".join(parts))
    if data is None:
        return Err(LoadFailure.DAMAGED_CHUNK)
    return restore(data, manifest)


def restore(data: bytes, manifest: ManifestRecord) -> Result[FleetState, LoadFailure]:
    """Decode canonical bytes, and apply the change that the mark itself made to the state."""
    claim = manifest.claim
    if hashlib.sha256(data).hexdigest() != claim.digest:
        return Err(LoadFailure.WRONG_DIGEST)
    try:
        state = from_canonical_bytes(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return Err(LoadFailure.WRONG_SHAPE)
    if state.next_offset != claim.offset + 1:
        return Err(LoadFailure.WRONG_DIGEST)
    state.snapshots.newest = MarkedSnapshot(
        offset=claim.offset,
        digest=claim.digest,
        instance=claim.instance,
        incarnation=claim.incarnation,
        at_ms=manifest.at_ms,
    )
    return Ok(state)
