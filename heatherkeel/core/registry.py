"""Registries that decorators fill: record handlers and invariant checkers."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, TypeVar

import msgspec
from result import Result

from .errors import RegistrationError
from .models import Accepted, RecordBody, RecordMeta, Rejected, Violation

if TYPE_CHECKING:
    from .state import FleetState

BodyT = TypeVar("BodyT", bound=RecordBody)
Handler = Callable[["FleetState", RecordMeta, BodyT], Result[Accepted, Rejected]]
Checker = Callable[["FleetState"], Iterator[Violation]]


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordKind:
    """One registered kind of record: how to decode its body, and who decides it.

    `remembered` keeps its outcomes in `FleetState.outcomes`, for authors that ask later.
    """

    kind: str
    body_type: type[RecordBody]
    decoder: msgspec.json.Decoder[Any]
    handler: Handler[Any]
    remembered: bool = False


RECORD_KINDS: Final[dict[str, RecordKind]] = {}
KIND_OF_BODY: Final[dict[type[RecordBody], str]] = {}
CHECKERS: Final[dict[str, Checker]] = {}


def handles(
    kind: str, body_type: type[BodyT], *, remembered: bool = False
) -> Callable[[Handler[BodyT]], Handler[BodyT]]:
    """Register the handler of one record kind; a handler rejects before it changes anything."""

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
    """Register the checker of one promise; tests, replay and measurement share it."""

    def register(checker: Checker) -> Checker:
        if promise in CHECKERS:
            raise RegistrationError(f"promise {promise} is registered twice")
        CHECKERS[promise] = checker
        return checker

    return register


def find_violations(state: FleetState) -> list[Violation]:
    """Run every registered checker over one state."""
    return [violation for checker in CHECKERS.values() for violation in checker(state)]
