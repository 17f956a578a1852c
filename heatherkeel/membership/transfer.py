"""Provides the state of this process to joining instances in parts, and assembles one here."""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import trio

from heatherkeel.core.state import FleetState, canonical_bytes, from_canonical_bytes
from heatherkeel.snapshots import codec

from .const import PACKED_STATE_MAX_AGE_MS, STATE_PART_BYTES
from .messages import StatePart, StateRequest

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True, slots=True)
class PackedState:
    """A packed state, which is provided to several joining instances."""

    offset: int
    digest: str
    packed: bytes
    packed_at_ms: int


class StateProvider:
    """Answers joining instances; the packed state is cached, as a whole zone may start at once."""

    def __init__(self, *, state: Callable[[], FleetState]) -> None:
        self.state = state
        self.cached: PackedState | None = None

    def answer(self, request: StateRequest, now_ms: int) -> StatePart | None:
        """Return the requested part; None if that state is no longer provided."""
        cached = self._pack_newest(now_ms) if request.offset == 0 else self.cached
        if cached is None or request.offset not in (0, cached.offset):
            return None
        start = request.index * STATE_PART_BYTES
        return StatePart(
            offset=cached.offset,
            in_force=self.state().next_offset - 1,
            digest=cached.digest,
            index=request.index,
            count=-(-len(cached.packed) // STATE_PART_BYTES),
            data=cached.packed[start : start + STATE_PART_BYTES],
        )

    def _pack_newest(self, now_ms: int) -> PackedState:
        if self.cached is not None and now_ms - self.cached.packed_at_ms < PACKED_STATE_MAX_AGE_MS:
            return self.cached
        data = canonical_bytes(self.state())
        self.cached = PackedState(
            offset=self.state().next_offset,
            digest=hashlib.sha256(data).hexdigest(),
            packed=codec.pack(data),
            packed_at_ms=now_ms,
        )
        return self.cached


@dataclass(kw_only=True)
class StateFetch:
    """A state that is being fetched; parts of any other state are ignored."""

    offset: int = 0
    digest: str = ""
    count: int = 1
    needed_offset: int = -1
    """Newest offset that the peer had folded when it sent the first part and began to sponsor."""
    parts: list[bytes] = field(default_factory=list)
    part_added: trio.Event = field(default_factory=trio.Event)

    @property
    def is_complete(self) -> bool:
        """Return whether all parts were received."""
        return len(self.parts) == self.count

    def add_part(self, part: StatePart) -> None:
        """Add a part if it is the next one of this state."""
        if part.index != len(self.parts) or self.is_complete:
            return
        if not self.parts:
            self.offset, self.digest, self.count = part.offset, part.digest, part.count
            self.needed_offset = part.in_force
        if (part.offset, part.digest, part.count) != (self.offset, self.digest, self.count):
            return
        self.parts.append(part.data)
        self.part_added.set()
        self.part_added = trio.Event()

    def state(self) -> FleetState | None:
        """Return the state; None if its digest doesn't match or it can't be decoded."""
        data = codec.unpack(b"".join(self.parts))
        if data is None or hashlib.sha256(data).hexdigest() != self.digest:
            _LOGGER.error("the state from a peer is corrupt", extra={"event": "peer_state_damaged"})
            return None
        try:
            return from_canonical_bytes(data)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            _LOGGER.error(
                "the state from a peer can't be decoded", extra={"event": "peer_state_shape"}
            )
            return None
