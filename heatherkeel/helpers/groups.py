"""Helpers for exception groups."""

from __future__ import annotations


def find_system_error(err: BaseException) -> OSError | None:
    """Return the first `OSError` if a group holds nothing else, or None."""
    if isinstance(err, OSError):
        return err
    if not isinstance(err, BaseExceptionGroup):
        return None
    found = [find_system_error(item) for item in err.exceptions]
    return None if None in found else found[0]
