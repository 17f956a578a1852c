"""Registries of record handlers, follow-ups and invariant checkers, filled by decorators."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, TypeVar

import msgspec
from result import Result

from .errors import RegistrationError
from .models import Accepted, Effect, RecordBody, RecordMeta, Rejected, Violation

if TYPE_CHECKING:
    from .state import FleetState

BodyT = TypeVar("BodyT", bound=RecordBody)
Handler = Callable[["FleetState", RecordMeta, BodyT], Result[Accepted, Rejected]]
Checker = Callable[["FleetState"], Iterator[Violation]]
StepChecker = Callable[["FleetState", list[Effect], "FleetState"], Iterator[Violation]]
FollowUp = Callable[["FleetState", int], list[Effect]]
FollowUpT = TypeVar("FollowUpT", bound=FollowUp)


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordKind:
    """A registered kind of record, with the decoder and the handler of its body.

    If `remembered` is set, outcomes are kept in `FleetState.outcomes` for later queries.
    """

    kind: str
    body_type: type[RecordBody]
    decoder: msgspec.json.Decoder[Any]
    handler: Handler[Any]
    remembered: bool = False


RECORD_KINDS: Final[dict[str, RecordKind]] = {}
KIND_OF_BODY: Final[dict[type[RecordBody], str]] = {}
FOLLOW_UPS: Final[list[FollowUp]] = []
CHECKERS: Final[dict[str, Checker]] = {}
STEP_CHECKERS: Final[dict[str, StepChecker]] = {}


def handles(
    kind: str, body_type: type[BodyT], *, remembered: bool = False
) -> Callable[[Handler[BodyT]], Handler[BodyT]]:
    """Register the handler of one record kind; it must not change the state before it rejects."""

    def register(handler: Handler[BodyT]) -> Handler[BodyT]:
        if kind in RECORD_KINDS or body_type in KIND_OF_BODY:
            raise RegistrationError(f"record kind {kind} is registered twice")
        decoder = msgspec.json.Decoder(body_type)
        RECORD_KINDS[kind] = RecordKind(
            kind=kind,
            body_type=body_type,
            decoder=decoder,
            handler=handler,
            remembered=remembered,
        )
        KIND_OF_BODY[body_type] = kind
        return handler

    return register


def checks(promise: str) -> Callable[[Checker], Checker]:
    """Register the checker of one promise, for tests, replay and measurement."""

    def register(checker: Checker) -> Checker:
        if promise in CHECKERS:
            raise RegistrationError(f"promise {promise} is registered twice")
        CHECKERS[promise] = checker
        return checker

    return register


def checks_step(promise: str) -> Callable[[StepChecker], StepChecker]:
    """Register a checker that compares the states before and after one record.

    It receives the state before the record, the effects of the record, and the state after it.
    """

    def register(checker: StepChecker) -> StepChecker:
        if promise in STEP_CHECKERS:
            raise RegistrationError(f"promise {promise} is registered twice")
        STEP_CHECKERS[promise] = checker
        return checker

    return register


def follows_up(follow_up: FollowUpT) -> FollowUpT:
    """Register a function that runs before and after every record, also a rejected one.

    Any record advances log time, which can let a lease expire. A follow-up runs twice per
    record, so it must return quickly when there is nothing to do.
    """
    if follow_up in FOLLOW_UPS:
        raise RegistrationError(f"{follow_up.__name__} is registered twice")
    FOLLOW_UPS.append(follow_up)
    return follow_up


def find_violations(state: FleetState) -> list[Violation]:
    """Run every registered checker on one state."""
    return [violation for checker in CHECKERS.values() for violation in checker(state)]


def find_step_violations(
    before: FleetState, effects: list[Effect], after: FleetState
) -> list[Violation]:
    """Run every registered step checker on one record."""
    return [
        violation
        for checker in STEP_CHECKERS.values()
        for violation in checker(before, effects, after)
    ]
