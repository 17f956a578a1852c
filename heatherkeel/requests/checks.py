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
    for name, held in state.claims.claims.items():
        if held.attempt - held.not_run_attempts > MAX_OPEN_ATTEMPTS:
            yield Violation(
                promise="a key runs at most once",
                offset=state.next_offset - 1,
                where=name,
                detail=f"{held.attempt} claims, {held.not_run_attempts} ended not run",
            )


@checks_step("an outcome never changes")
def check_outcomes(
    before: FleetState, effects: list[Effect], after: FleetState
) -> Iterator[Violation]:
    """Find recorded outcomes that changed, and open claims that were replaced."""
    for name, held in before.claims.claims.items():
        now = after.claims.claims.get(name)
        if now is not None and _was_changed(held, now):
            yield Violation(
                promise="an outcome never changes",
                offset=after.next_offset - 1,
                where=name,
                detail=f"{held.status} of {held.claim} became {now.status} of {now.claim}",
            )


def _was_changed(held: Claim, now: Claim) -> bool:
    if held.status is ClaimStatus.NOT_RUN:
        return now.claim == held.claim and now.status is not ClaimStatus.NOT_RUN
    if now.claim != held.claim:
        return now.attempt > held.attempt
    if held.status is ClaimStatus.CLAIMED:
        return False
    return (now.status, now.answer) != (held.status, held.answer)
