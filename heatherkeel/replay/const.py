"""Constants of replay."""

from __future__ import annotations

from typing import Final

TICK_MS: Final = 1_000
"""How often the fakes act unless the trace says otherwise, in log milliseconds."""

MAX_TRACE_MS: Final = 400 * 24 * 3_600_000
"""Longest time that a trace may span: each tick of it is worked through."""

MAX_LINE_BYTES: Final = 512 * 1024
"""Longest line of a trace."""

PLATFORM_OBSERVER: Final = "platform"
"""Author of the records that stand for the platform's list."""
