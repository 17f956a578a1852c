"""Imports every subject, so that its handlers and checkers are registered."""

from __future__ import annotations

import heatherkeel.catalogue.reducer
import heatherkeel.membership.reducer
import heatherkeel.pools.reducer
import heatherkeel.snapshots.reducer  # noqa: F401
