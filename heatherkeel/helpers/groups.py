"""Looks into the groups in which the loop wraps what its tasks raise."""

from __future__ import annotations


def find_system_error(err: BaseException) -> OSError | None:
    """Return what the system refused, if that is all that went wrong; else None."""
    if isinstance(err, OSError):
        return err
    if not isinstance(err, BaseExceptionGroup):
        return None
    found = [find_system_error(item) for item in err.exceptions]
    return None if None in found else found[0]
