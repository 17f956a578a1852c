"""Invariant checks for claims, shared by tests, replay and measurement."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from heatherkeel.core.models import Effect, Violation
from heatherkeel.core.registry import checks, checks_step
from heatherkeel.core.state import FleetState

from .models import Claim, ClaimStatus

MAX_OPEN_ATTEMPTS: Final = 1
"""Maximum number of claims of one key that have not ended as *not run*."""


@checks("a key runs at most once")
def check_attempts(state: FleetState) -> Iterator[Violation]:
    """Find keys that were claimed again although an earlier claim may have run."""
    for name, claim in state.claims.claims.items():
        if claim.attempt - claim.not_run_attempts > MAX_OPEN_ATTEMPTS:
            yield Violation(
                promise="a key runs at most once",
                offset=state.next_offset - 1,
                where=name,
                detail=f"{claim.attempt} claims, {claim.not_run_attempts} ended not run",
            )


@checks_step("an outcome never changes")
def check_outcomes(
    before: FleetState, effects: list[Effect], after: FleetState
) -> Iterator[Violation]:
    """Find recorded outcomes that changed, and open claims that were replaced."""
    for name, old in before.claims.claims.items():
        new = after.claims.claims.get(name)
        if new is not None and _was_changed(old, new):
            yield Violation(
                promise="an outcome never changes",
                offset=after.next_offset - 1,
                where=name,
                detail=f"{old.status} of {old.claim} became {new.status} of {new.claim}",
            )


def _was_changed(old: Claim, new: Claim) -> bool:
    if old.status is ClaimStatus.NOT_RUN:
        return new.claim == old.claim and new.status is not ClaimStatus.NOT_RUN
    if new.claim != old.claim:
        return new.attempt > old.attempt
    if old.status is ClaimStatus.CLAIMED:
        return False
    return (new.status, new.answer) != (old.status, old.answer)
