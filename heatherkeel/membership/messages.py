"""Messages between entry processes; every one may be lost."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from .const import MAX_LOADS, MAX_QUIET_DRAINS

Short = Annotated[str, Meta(max_length=128)]
Count = Annotated[int, Meta(ge=0)]


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, tag="heartbeat"):
    """Says that a process is alive, how far it has folded, and what it sends where.

    `log_age_ms` is the time since its last answer of the log, -1 if it never had one. `loads`
    are its own requests in progress by target. `quiet_drains` are ids of drains that it has
    folded and has nothing in progress for.
    """

    instance: Short
    incarnation: Short
    zone: Short
    address: Short
    number: Count
    offset_in_force: Annotated[int, Meta(ge=-1)]
    log_age_ms: Annotated[int, Meta(ge=-1)]
    loads: Annotated[dict[str, int], Meta(max_length=MAX_LOADS)] = {}
    quiet_drains: Annotated[list[str], Meta(max_length=MAX_QUIET_DRAINS)] = []


class HeartbeatAck(msgspec.Struct, frozen=True, kw_only=True, tag="ack"):
    """Answers heartbeat `number` on its own connection; `sponsors` says who stands in."""

    instance: Short
    incarnation: Short
    zone: Short
    number: Count
    sponsors: bool = False


class RecordsWanted(msgspec.Struct, frozen=True, kw_only=True, tag="records_wanted"):
    """Asks for the records of the log from an offset on."""

    zone: Short
    from_offset: Count


class RelayedRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One record of the log as a peer has read it."""

    offset: Count
    at_ms: Count
    data: bytes


class Records(msgspec.Struct, frozen=True, kw_only=True, tag="records"):
    """Records in order; none if the first one asked for is no longer kept."""

    records: list[RelayedRecord]


class StateWanted(msgspec.Struct, frozen=True, kw_only=True, tag="state_wanted"):
    """Asks for one part of a peer's state; `offset` 0 asks for its newest."""

    instance: Short
    incarnation: Short
    zone: Short
    offset: Count
    index: Count


class StatePart(msgspec.Struct, frozen=True, kw_only=True, tag="state_part"):
    """One part of a packed state; `digest` is the SHA-256 of the unpacked whole.

    `in_force` is the offset that the peer itself has folded by now.
    """

    offset: Count
    in_force: Annotated[int, Meta(ge=-1)]
    digest: Short
    index: Count
    count: Count
    data: bytes


PeerMessage = Heartbeat | HeartbeatAck | RecordsWanted | Records | StateWanted | StatePart

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Return the bytes of a message."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> PeerMessage | None:
    """Return a message; None for bytes that are none."""
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
