"""Errors for broken invariants, which stop the process."""

from __future__ import annotations


class BrokenInvariantError(Exception):
    """The state of this process is not reliable; the process stops and is replaced."""


class OffsetGapError(BrokenInvariantError):
    """The offset of a record does not directly follow the last folded offset."""

    def __init__(self, *, expected: int, found: int) -> None:
        super().__init__(f"expected offset {expected}, found {found}")
        self.expected = expected
        self.found = found


class RegistrationError(BrokenInvariantError):
    """A record kind, name or handler is registered twice."""
