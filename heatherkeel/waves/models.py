"""Records of this subject, and its folded state."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(kw_only=True)
class WavesState:
    """What the log has decided about this subject."""
