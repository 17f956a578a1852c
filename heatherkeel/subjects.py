"""Imports every subject, so that its handlers and checkers are registered."""

from __future__ import annotations

import heatherkeel.catalogue.reducer
import heatherkeel.membership.reducer
import heatherkeel.pools.health
import heatherkeel.pools.reducer
import heatherkeel.waves.acknowledgements
import heatherkeel.waves.checks
import heatherkeel.waves.reducer  # noqa: F401
