"""A link with a bandwidth, shared by all answers that are sent over it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import trio

PIECE_BYTES: Final = 16 * 1024
"""How much of an answer is sent at a time; answers that are sent at once take turns."""


@dataclass(kw_only=True, slots=True)
class Link:
    """Lets bytes pass one piece after the other; without a bandwidth they pass at once."""

    bytes_per_s: float | None = None
    free_s: float = 0.0
    """When the link has sent what was given to it, in seconds of trio's clock."""
    sent_bytes: int = 0
    """Bytes of all answers that were sent, also of those that were given up, for tests."""

    async def async_pass(self, count: int) -> None:
        """Return once so many bytes have passed."""
        self.sent_bytes += count
        if self.bytes_per_s is None:
            return
        self.free_s = max(self.free_s, trio.current_time()) + count / self.bytes_per_s
        await trio.sleep_until(self.free_s)
