"""What has arrived of one response."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import trio


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

    def response_time_s(self, now_s: float) -> float:
        """Return the time to the first byte, or until now; the rest is the time of its bytes."""
        return (now_s if self.first_s is None else self.first_s) - self.began_s


def begin_transfer() -> Transfer:
    """Return the transfer of a call that begins now."""
    return Transfer(began_s=trio.current_time())
