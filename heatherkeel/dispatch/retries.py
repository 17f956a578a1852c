"""Pauses between listings of a worker that doesn't answer."""

from __future__ import annotations

from typing import Final
from zlib import crc32

from .const import FAILED_LIST_PAUSE_MS

PROMPT_RETRIES: Final = 4
"""Failed listings after which the pauses grow; a worker's process restarts within about so many."""
MAX_RETRY_PAUSE_MS: Final = 1200
"""Longest pause, in milliseconds; so long may the capacity of a worker that is back lie idle."""
JITTER: Final = 0.25
"""Fraction by which a longer pause may be shortened, so that retries don't coincide."""


def choose_retry_pause_ms(worker_id: str, *, failures: int, has_runs: bool) -> int:
    """Return the pause after a number of consecutive failed listings, in milliseconds.

    With runs it stays short, since their lease is renewed only once the worker has answered.
    Otherwise most of these workers' machines are off, and an owner would open connections to them
    in vain.
    """
    doublings = failures - PROMPT_RETRIES
    if has_runs or doublings <= 0:
        return FAILED_LIST_PAUSE_MS
    longest_ms = min(MAX_RETRY_PAUSE_MS, FAILED_LIST_PAUSE_MS << min(doublings, 8))
    drawn = crc32(f"{worker_id}/{failures}".encode()) / (1 << 32)
    return round(longest_ms * (1 - JITTER * drawn))
