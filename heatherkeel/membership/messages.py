"""Messages between entry processes; any of them may be lost."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from .const import MAX_LOADS, MAX_QUIESCED_DRAINS

Short = Annotated[str, Meta(max_length=128)]
Count = Annotated[int, Meta(ge=0)]


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, tag="heartbeat"):
    """Reports that a process is alive, how far it has folded, and its requests in progress.

    `log_age_ms` is the time since the log last answered it, -1 if it never did. `loads` are its
    own requests in progress by target. `quiet_drains` are the ids of drains that it has folded
    and for which it has no request in progress.
    """

    instance: Short
    incarnation: Short
    zone: Short
    address: Short
    number: Count
    offset_in_force: Annotated[int, Meta(ge=-1)]
    log_age_ms: Annotated[int, Meta(ge=-1)]
    loads: Annotated[dict[str, int], Meta(max_length=MAX_LOADS)] = {}
    quiet_drains: Annotated[list[str], Meta(max_length=MAX_QUIESCED_DRAINS)] = []


class HeartbeatAck(msgspec.Struct, frozen=True, kw_only=True, tag="ack"):
    """Answers heartbeat `number`; `sponsors` is True if the sender is sponsored."""

    instance: Short
    incarnation: Short
    zone: Short
    number: Count
    sponsors: bool = False


class RecordsRequest(msgspec.Struct, frozen=True, kw_only=True, tag="records_wanted"):
    """Requests the records of the log from an offset on."""

    zone: Short
    from_offset: Count


class RelayedRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One record of the log as a peer has read it."""

    offset: Count
    at_ms: Count
    data: bytes


class Records(msgspec.Struct, frozen=True, kw_only=True, tag="records"):
    """Records in order; empty if the first requested one is no longer kept."""

    records: list[RelayedRecord]


class StateRequest(msgspec.Struct, frozen=True, kw_only=True, tag="state_wanted"):
    """Requests one part of a peer's state; `offset` 0 requests the newest state."""

    instance: Short
    incarnation: Short
    zone: Short
    offset: Count
    index: Count


class StatePart(msgspec.Struct, frozen=True, kw_only=True, tag="state_part"):
    """One part of a packed state; `digest` is the SHA-256 of the whole unpacked state.

    `in_force` is the newest offset that the peer has folded.
    """

    offset: Count
    in_force: Annotated[int, Meta(ge=-1)]
    digest: Short
    index: Count
    count: Count
    data: bytes


PeerMessage = Heartbeat | HeartbeatAck | RecordsRequest | Records | StateRequest | StatePart

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> PeerMessage | None:
    """Decode a message; None if the bytes aren't a valid one."""
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
