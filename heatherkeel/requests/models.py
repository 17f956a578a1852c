"""Records of this subject, and its folded state."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(kw_only=True)
class ClaimsState:
    """What the log has decided about this subject."""
