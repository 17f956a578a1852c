"""What has arrived of one response."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
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
    on_bytes: Callable[[], None] = lambda: None
    """Called after bytes have arrived."""

    def record(self, count: int) -> None:
        """Record that bytes have arrived; none at the end of a connection."""
        if not count:
            return
        now_s = trio.current_time()
        self.first_s = now_s if self.first_s is None else self.first_s
        self.heard_s = now_s
        self.received_bytes += count
        self.on_bytes()

    def is_arriving(self) -> bool:
        """Return whether bytes have arrived a short time ago."""
        return self.heard_s is not None and trio.current_time() < self.heard_s + SILENCE_TIMEOUT_S

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
