"""Judges one answer: its outcome and reason, and whether it is this request's own."""

from __future__ import annotations

import msgspec

from heatherkeel.entry.const import OUTCOME_HEADER
from heatherkeel.helpers.asgi import PROBLEM_TYPE

from .const import PROBLEM_PREFIX
from .models import Outcome, PlannedRequest, Promise

_TOLD = {b"ran": Outcome.RAN, b"not_run": Outcome.NOT_RUN, b"unknown": Outcome.UNKNOWN}


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """What is read of an `application/problem+json` answer."""

    type: str = ""
    reason: str = ""


class TargetAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What a target stand-in echoes of the request that it ran."""

    request_id: str
    target: str
    body_sha256: str


def find_outcome(headers: list[tuple[bytes, bytes]]) -> Outcome:
    """Return what the answer's outcome header says."""
    for name, value in headers:
        if name.lower() == OUTCOME_HEADER.encode():
            return _TOLD.get(value, Outcome.UNLABELLED)
    return Outcome.UNLABELLED


def find_reason(status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> str:
    """Return the reason of a problem answer, its type where it has none, or the status."""
    content_type = {name.lower(): value for name, value in headers}.get(b"content-type", b"")
    if not content_type.startswith(PROBLEM_TYPE.encode()):
        return f"status_{status}"
    try:
        problem = msgspec.json.decode(body, type=Problem)
    except msgspec.DecodeError:
        return "malformed_problem"
    return problem.reason or problem.type.removeprefix(PROBLEM_PREFIX) or f"status_{status}"


def check_own_answer(request: PlannedRequest, status: int, body: bytes) -> tuple[Promise, ...]:
    """Return the promises that an answer which says `ran` breaks.

    A late answer on a reused connection would look well-formed to its caller, only with
    somebody else's content; so the target echoes what identifies the request.
    """
    if status != 200:
        return ()
    try:
        answer = msgspec.json.decode(body, type=TargetAnswer)
    except msgspec.DecodeError:
        return (Promise.WHOLE_ANSWER,)
    own = (
        answer.request_id == request.id
        and answer.target == request.path
        and answer.body_sha256 == request.body_sha256
    )
    return () if own else (Promise.OWN_ANSWER,)
