"""Errors of replay, as values."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class TraceError:
    """A trace that can't be read; `line` counts from 1, and is 0 for the file as a whole."""

    line: int
    reason: str
