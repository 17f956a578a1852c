"""Counts steps of work, which unlike seconds are the same on every machine and in every run."""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any


def count_lines(call: Callable[[], Any]) -> int:
    """Return how many lines of Python a call executes, those of all it calls included."""
    lines = 0

    def trace(frame: FrameType, event: str, argument: Any) -> Any:
        nonlocal lines
        lines += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return lines
