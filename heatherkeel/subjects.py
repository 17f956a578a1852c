"""Imports every subject, so that its handlers and checkers are registered."""

from __future__ import annotations

import heatherkeel.catalogue.checks
import heatherkeel.catalogue.reducer
import heatherkeel.membership.reducer
import heatherkeel.pools.reducer  # noqa: F401
