"""Imports every subject, so that its handlers and checkers are registered."""

from __future__ import annotations

import heatherkeel.catalogue.checks
import heatherkeel.catalogue.reducer
import heatherkeel.jobs.reducer
import heatherkeel.membership.listeners
import heatherkeel.membership.reducer
import heatherkeel.membership.sponsor
import heatherkeel.pools.health
import heatherkeel.pools.reducer
import heatherkeel.requests.arrival
import heatherkeel.requests.attempts
import heatherkeel.requests.checks
import heatherkeel.requests.claims
import heatherkeel.requests.limits
import heatherkeel.requests.reducer
import heatherkeel.requests.targets
import heatherkeel.requests.waiting
import heatherkeel.snapshots.reducer
import heatherkeel.waves.acknowledgements
import heatherkeel.waves.checks
import heatherkeel.waves.policies
import heatherkeel.waves.reducer  # noqa: F401
