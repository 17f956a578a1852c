"""What has arrived of one response."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import trio

SILENCE_TIMEOUT_S: Final = 0.5
"""Longest pause between the bytes of a response that is arriving, in seconds."""
MAX_TRANSFER_S: Final = 20.0
"""Longest time of a response's bytes, in seconds; ends a call whose other end sends hardly any."""


@dataclass(kw_only=True, slots=True)
class Transfer:
    """Bytes of a response that have arrived, and when; times in seconds of trio's clock."""

    began_s: float
    received_bytes: int = 0
    first_s: float | None = None
    """When the first byte arrived; None before that."""
    heard_s: float | None = None
    """When bytes last arrived; None before the first."""
    is_complete: bool = False
    """The whole response has arrived, or no more of it will."""
    listeners: list[Callable[[], None]] = field(default_factory=list)
    """Called after bytes have arrived."""

    def record(self, count: int) -> None:
        """Record that bytes have arrived; none at the end of a connection."""
        if not count:
            return
        now_s = trio.current_time()
        self.first_s = now_s if self.first_s is None else self.first_s
        self.heard_s = now_s
        self.received_bytes += count
        for listener in self.listeners:
            listener()

    def is_arriving(self) -> bool:
        """Return whether bytes have arrived a short time ago, and more are awaited."""
        if self.is_complete or self.heard_s is None:
            return False
        return trio.current_time() < self.heard_s + SILENCE_TIMEOUT_S

    def arrival_s(self) -> float:
        """Return for how long bytes have been arriving, in seconds."""
        return 0.0 if self.first_s is None else trio.current_time() - self.first_s

    def deadline_s(self) -> float:
        """Return the time until which more bytes are awaited, once the first have arrived."""
        if self.first_s is None or self.heard_s is None:
            return self.began_s
        return min(self.heard_s + SILENCE_TIMEOUT_S, self.first_s + MAX_TRANSFER_S)

    def response_time_s(self, now_s: float) -> float:
        """Return the time to the first byte, or until now; the rest is the time of its bytes."""
        return (now_s if self.first_s is None else self.first_s) - self.began_s


def begin_transfer() -> Transfer:
    """Return the transfer of a call that begins now."""
    return Transfer(began_s=trio.current_time())
