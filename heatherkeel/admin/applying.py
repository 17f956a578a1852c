"""Applies an operator's file to the catalogue, one entry at a time."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Final
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from heatherkeel.catalogue.models import CatalogueEntry
from heatherkeel.core.envelopes import new_record_id

from .client import AdminClient, ApiAnswer, CallError, CallFailure
from .const import REPEAT_FOR_S

PAUSE_S: Final = 1.0
ABSENT: Final = "(none)"


class ApplyOutcome(StrEnum):
    """Result of applying one entry of the file."""

    UNCHANGED = "unchanged"
    CREATED = "created"
    CHANGED = "changed"
    DELETED = "deleted"
    REFUSED = "refused"
    NOT_ACCEPTED = "not accepted"
    UNKNOWN = "unknown"


SUCCESSFUL_OUTCOMES: Final = frozenset(
    {
        ApplyOutcome.UNCHANGED,
        ApplyOutcome.CREATED,
        ApplyOutcome.CHANGED,
        ApplyOutcome.DELETED,
    }
)


@dataclass(frozen=True, kw_only=True, slots=True)
class ApplyResult:
    """The outcome of one entry, with explanatory lines for the operator."""

    name: str
    outcome: ApplyOutcome
    version: int = 0
    offset: int = -1
    lines: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedEdit:
    """An edit request, retried if its outcome is unknown."""

    name: str
    method: str
    value: Any
    precondition: tuple[str, str]
    key: str
    planned: ApplyOutcome
    lines: tuple[str, ...]


class Applier:
    """Sends an edit for each entry that differs, and retries under the same idempotency key."""

    def __init__(
        self,
        *,
        client: AdminClient,
        repeat_for_s: float = REPEAT_FOR_S,
        sleep: Callable[[float], None] = time.sleep,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self.client = client
        self.repeat_for_s = repeat_for_s
        self.sleep = sleep
        self.now_s = now_s

    def apply(self, name: str, wanted: Any) -> ApplyResult:
        """Create, change or (for None) delete one entry."""
        match self.client.call("GET", entry_path(name)):
            case Ok(answer) if answer.status in (200, 404):
                edit = plan_edit(name, wanted, answer)
                return edit if isinstance(edit, ApplyResult) else self._send(edit)
            case Ok(answer):
                return _refused(name, answer)
            case Err(error):
                return _unreachable(name, error)

    def _send(self, edit: PlannedEdit) -> ApplyResult:
        """Send an edit until its outcome is known or `repeat_for_s` has passed.

        If a response was lost, the edit may have been accepted. From then on a rejected retry
        doesn't prove that the edit was not accepted; only the record's own outcome does.
        """
        give_up_at = self.now_s() + self.repeat_for_s
        maybe_accepted = False
        while True:
            sent = self._attempt(edit)
            outcome = _outcome_of_attempt(edit, sent, maybe_accepted=maybe_accepted)
            maybe_accepted = maybe_accepted or _may_have_been_accepted(sent)
            if outcome.outcome is not ApplyOutcome.UNKNOWN or self.now_s() > give_up_at:
                return outcome
            self.sleep(_pause_s(sent))

    def _attempt(self, edit: PlannedEdit) -> Result[ApiAnswer, CallError]:
        headers = {"idempotency-key": edit.key, edit.precondition[0]: edit.precondition[1]}
        return self.client.call(
            edit.method, entry_path(edit.name), value=edit.value, headers=headers
        )


def entry_path(name: str) -> str:
    """Return the path of an entry; quoting keeps an invalid name from reaching another path."""
    return f"/catalogue/{quote(name, safe='')}"


def plan_edit(name: str, wanted: Any, read: ApiAnswer) -> PlannedEdit | ApplyResult:
    """Compare the entry in force with the wanted one and return the edit it needs, if any."""
    in_force = read.value if read.status == 200 else None
    lines = tuple(diff_lines(_with_defaults(in_force), _with_defaults(wanted)))
    if wanted == in_force or (in_force is not None and wanted is not None and not lines):
        return ApplyResult(name=name, outcome=ApplyOutcome.UNCHANGED)
    if in_force is None:
        lines = tuple(diff_lines(None, wanted))
        planned, precondition = ApplyOutcome.CREATED, ("if-none-match", "*")
    else:
        planned, precondition = ApplyOutcome.CHANGED, ("if-match", read.headers.get("etag", ""))
    if wanted is None:
        planned = ApplyOutcome.DELETED
    return PlannedEdit(
        name=name,
        method="DELETE" if wanted is None else "PUT",
        value=wanted,
        precondition=precondition,
        key=new_record_id(),
        planned=planned,
        lines=() if wanted is None else lines,
    )


def diff_lines(before: Any, after: Any, path: str = "") -> Iterator[str]:
    """Return one line for each field that differs."""
    if isinstance(before, dict) and isinstance(after, dict):
        for key in sorted({*before, *after}):
            inner = f"{path}.{key}" if path else key
            yield from diff_lines(before.get(key), after.get(key), inner)
        return
    if before is None and isinstance(after, dict):
        yield from diff_lines({}, after, path)
        return
    if before != after:
        yield f"{path}: {_format_value(before)} -> {_format_value(after)}"


def problem_lines(answer: ApiAnswer) -> list[str]:
    """Return the detail of an error response, one line for each fault."""
    problem = answer.value if isinstance(answer.value, dict) else {}
    detail = problem.get("detail") or problem.get("title") or f"status {answer.status}"
    return str(detail).splitlines()


def _with_defaults(value: Any) -> Any:
    """Fill in the defaults of an entry; an invalid one is returned unchanged."""
    try:
        return msgspec.to_builtins(msgspec.convert(value, CatalogueEntry))
    except msgspec.ValidationError:
        return value


def _format_value(value: Any) -> str:
    return ABSENT if value is None else msgspec.json.encode(value).decode()


def _outcome_of_attempt(
    edit: PlannedEdit, sent: Result[ApiAnswer, CallError], *, maybe_accepted: bool
) -> ApplyResult:
    """Return the outcome of an edit after an attempt."""
    if isinstance(sent, Err):
        error = sent.err_value
        unknown = maybe_accepted or error.failure is CallFailure.UNKNOWN
        return _failed(edit, [error.detail], unknown=unknown)
    answer = sent.ok_value
    if answer.status == 200:
        return ApplyResult(
            name=edit.name,
            outcome=edit.planned,
            version=answer.value["version"],
            offset=answer.value["offset"],
            lines=edit.lines,
        )
    if _may_have_been_accepted(sent):
        return _failed(edit, problem_lines(answer), unknown=True)
    if answer.status == 503:
        return _failed(edit, problem_lines(answer), unknown=maybe_accepted)
    return _refused(edit.name, answer)


def _refused(name: str, answer: ApiAnswer) -> ApplyResult:
    outcome = ApplyOutcome.NOT_ACCEPTED if answer.status == 503 else ApplyOutcome.REFUSED
    return ApplyResult(name=name, outcome=outcome, lines=tuple(problem_lines(answer)))


def _may_have_been_accepted(sent: Result[ApiAnswer, CallError]) -> bool:
    if isinstance(sent, Err):
        return sent.err_value.failure is CallFailure.UNKNOWN
    kind = _kind(sent.ok_value)
    return kind.endswith((":unknown", ":in_progress")) or sent.ok_value.status in (500, 502, 504)


def _kind(answer: ApiAnswer) -> str:
    return str(answer.value.get("type", "")) if isinstance(answer.value, dict) else ""


def _failed(edit: PlannedEdit, lines: list[str], *, unknown: bool) -> ApplyResult:
    outcome = ApplyOutcome.UNKNOWN if unknown else ApplyOutcome.NOT_ACCEPTED
    if unknown:
        lines = [*lines, f"sent under Idempotency-Key {edit.key}"]
    return ApplyResult(name=edit.name, outcome=outcome, lines=tuple(lines))


def _unreachable(name: str, error: CallError) -> ApplyResult:
    return ApplyResult(name=name, outcome=ApplyOutcome.NOT_ACCEPTED, lines=(error.detail,))


def _pause_s(sent: Result[ApiAnswer, CallError]) -> float:
    if isinstance(sent, Err):
        return PAUSE_S
    retry_after = sent.ok_value.headers.get("retry-after", "")
    return float(retry_after) if retry_after.isdecimal() else PAUSE_S
