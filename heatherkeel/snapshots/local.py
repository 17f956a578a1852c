"""What a process is told when its shared state was replaced as a whole."""

from __future__ import annotations

from dataclasses import dataclass

from heatherkeel.core.node import LocalEvent


@dataclass(frozen=True, kw_only=True, slots=True)
class StateRestored(LocalEvent):
    """The shared state came from a snapshot: no effect tells what changed on the way to it.

    A listener that builds local state from effects builds it anew from `node.fleet`.
    """
