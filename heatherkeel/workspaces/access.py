"""Finds the workspace of a caller by its key."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto
from hashlib import blake2b

from heatherkeel.platform.operator import Workspace

from .const import KEY_DIGEST_BYTES


class KeyState(Enum):
    """What a caller's key proves."""

    ABSENT = auto()
    UNKNOWN = auto()
    KNOWN = auto()


@dataclass(frozen=True, kw_only=True, slots=True)
class Caller:
    """Who sent a request; `workspace` is empty unless the key is known."""

    key_state: KeyState
    workspace: str = ""

    def may_use(self, workspace: str) -> bool:
        """Return whether this caller may read or cancel a job of a workspace.

        A job without a workspace was accepted for a public queue, or before keys were in use.
        """
        return not workspace or workspace == self.workspace


PUBLIC_CALLER = Caller(key_state=KeyState.ABSENT)
"""A caller without a key."""


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyTable:
    """The workspace of each key, by the key's digest, so that no key is kept or compared."""

    names: dict[bytes, str] = field(default_factory=dict)

    def find_caller(self, key: str | None) -> Caller:
        """Return who sent a key; the cost doesn't depend on the number of keys."""
        if key is None:
            return PUBLIC_CALLER
        name = self.names.get(_digest(key))
        if name is None:
            return Caller(key_state=KeyState.UNKNOWN)
        return Caller(key_state=KeyState.KNOWN, workspace=name)


def build_key_table(workspaces: Iterable[Workspace]) -> KeyTable:
    """Return the table of a valid configuration, in which each key has one workspace."""
    return KeyTable(
        names={_digest(key): workspace.name for workspace in workspaces for key in workspace.keys}
    )


def _digest(key: str) -> bytes:
    # Callers may send any character, including lone surrogates.
    return blake2b(key.encode("utf-8", "surrogatepass"), digest_size=KEY_DIGEST_BYTES).digest()
