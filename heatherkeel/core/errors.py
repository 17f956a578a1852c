"""Broken invariants: the only errors of the fold that stop the process."""

from __future__ import annotations


class BrokenInvariantError(Exception):
    """The process can't trust its own state any more; it stops and is replaced."""


class OffsetGapError(BrokenInvariantError):
    """A record does not follow the last folded offset: something was skipped."""

    def __init__(self, *, expected: int, found: int) -> None:
        super().__init__(f"expected offset {expected}, found {found}")
        self.expected = expected
        self.found = found


class RegistrationError(BrokenInvariantError):
    """Two handlers claim the same record kind, or a name is registered twice."""
