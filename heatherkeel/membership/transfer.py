"""Gives the state of this process to a newcomer in parts, and takes one from a peer."""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import trio

from heatherkeel.core.state import FleetState, canonical_bytes, from_canonical_bytes
from heatherkeel.snapshots import codec

from .const import STATE_KEPT_MS, STATE_PART_BYTES
from .messages import StatePart, StateWanted

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True, slots=True)
class PackedState:
    """One state, packed once for all newcomers of the next seconds."""

    offset: int
    digest: str
    packed: bytes
    made_ms: int


class StateProvider:
    """Answers newcomers; a whole availability zone that starts costs one encoding."""

    def __init__(self, *, state: Callable[[], FleetState]) -> None:
        self.state = state
        self.kept: PackedState | None = None

    def answer(self, wanted: StateWanted, now_ms: int) -> StatePart | None:
        """Return the part that is asked for; None if that state is given out no more."""
        kept = self._newest(now_ms) if wanted.offset == 0 else self.kept
        if kept is None or wanted.offset not in (0, kept.offset):
            return None
        start = wanted.index * STATE_PART_BYTES
        return StatePart(
            offset=kept.offset,
            in_force=self.state().next_offset - 1,
            digest=kept.digest,
            index=wanted.index,
            count=-(-len(kept.packed) // STATE_PART_BYTES),
            data=kept.packed[start : start + STATE_PART_BYTES],
        )

    def _newest(self, now_ms: int) -> PackedState:
        if self.kept is not None and now_ms - self.kept.made_ms < STATE_KEPT_MS:
            return self.kept
        data = canonical_bytes(self.state())
        self.kept = PackedState(
            offset=self.state().next_offset,
            digest=hashlib.sha256(data).hexdigest(),
            packed=codec.pack(data),
            made_ms=now_ms,
        )
        return self.kept


@dataclass(kw_only=True)
class StateFetch:
    """A state on its way here; parts of any other one are left alone."""

    offset: int = 0
    digest: str = ""
    count: int = 1
    needed_offset: int = -1
    """What the peer had folded when it gave the first part, and began to sponsor."""
    parts: list[bytes] = field(default_factory=list)
    grown: trio.Event = field(default_factory=trio.Event)

    @property
    def is_whole(self) -> bool:
        """Say whether all parts are here."""
        return len(self.parts) == self.count

    def hear(self, part: StatePart) -> None:
        """Take the next part."""
        if part.index != len(self.parts) or self.is_whole:
            return
        if not self.parts:
            self.offset, self.digest, self.count = part.offset, part.digest, part.count
            self.needed_offset = part.in_force
        if (part.offset, part.digest, part.count) != (self.offset, self.digest, self.count):
            return
        self.parts.append(part.data)
        self.grown.set()
        self.grown = trio.Event()

    def state(self) -> FleetState | None:
        """Return the state if every byte of it is right."""
        data = codec.unpack(b"".join(self.parts))
        if data is None or hashlib.sha256(data).hexdigest() != self.digest:
            _LOGGER.error("a peer's state is damaged", extra={"event": "peer_state_damaged"})
            return None
        try:
            return from_canonical_bytes(data)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            _LOGGER.error("a peer's state has another shape", extra={"event": "peer_state_shape"})
            return None
