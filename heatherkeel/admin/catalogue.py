"""Handlers of `/catalogue` and `/records`."""

from __future__ import annotations

import re
from typing import Final

import msgspec
from result import Err, Ok

from heatherkeel.catalogue.const import MAX_NAME_CHARS, NAME_PATTERN
from heatherkeel.catalogue.models import CatalogueEntry, EntryDelete, EntryPut, StoredEntry
from heatherkeel.core.models import RecordOutcome

from .bodies import async_read_entry
from .const import OFFSET_HEADER
from .edits import async_submit, record_id_of
from .models import Access, Answer, Call, FieldFault, Problem, Reply
from .preconditions import expected_version, format_etag, idempotency_key, parse_etag
from .reasons import ApiRefusal
from .routes import route

_NAME: Final = re.compile(NAME_PATTERN)


class ListedEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One entry in force, as listed by `/catalogue`."""

    name: str
    version: int
    offset: int
    entry: CatalogueEntry


class EntryList(msgspec.Struct, frozen=True, kw_only=True):
    """The entries in force at `offset`, by name."""

    offset: int
    entries: list[ListedEntry]


class RecordStatus(msgspec.Struct, frozen=True, kw_only=True):
    """How the fold decided an edit; `reason` is empty if it was accepted."""

    record: str
    accepted: bool
    offset: int
    version: int
    reason: str
    detail: str


@route("GET", "/catalogue", access=Access.READ)
async def async_list(call: Call) -> Reply:
    """List the entries in force, filtered by `kind` and `owner` in the query."""
    fleet = call.node.state.fleet
    entries = [
        _listed(name, stored)
        for name, stored in sorted(fleet.catalogue.entries.items())
        if _matches_query(stored.entry, call.request.query)
    ]
    return Ok(Answer(value=EntryList(offset=fleet.next_offset - 1, entries=entries)))


@route("GET", "/catalogue/{name}", access=Access.READ)
async def async_get(call: Call) -> Reply:
    """Return one entry, with its version as the entity tag."""
    fleet = call.node.state.fleet
    stored = fleet.catalogue.entries.get(call.params["name"])
    if stored is None:
        return Err(_not_found("name", "no such entry"))
    headers = {"etag": format_etag(stored.version), OFFSET_HEADER: str(fleet.next_offset - 1)}
    if parse_etag(call.request.headers.get("if-none-match", "")) == stored.version:
        return Ok(Answer(status=304, headers=headers))
    return Ok(Answer(value=stored.entry, headers=headers))


@route("PUT", "/catalogue/{name}", access=Access.EDIT)
async def async_put(call: Call) -> Reply:
    """Create an entry, or replace the version named by the precondition."""
    name = call.params["name"]
    if not is_valid_name(name):
        return Err(_invalid_name())
    key = idempotency_key(call.request.headers)
    in_force = _version_in_force(call, name, key.unwrap_or(""))
    expected = expected_version(call.request.headers, in_force=in_force)
    entry = await async_read_entry(call.request, teams=call.node.settings.teams)
    for checked in (key, expected, entry):
        if isinstance(checked, Err):
            return Err(checked.err_value)
    body = EntryPut(
        name=name,
        expected_version=expected.unwrap(),
        team=call.team,
        entry=entry.unwrap(),
    )
    return await async_submit(call, body, key=key.unwrap())


@route("DELETE", "/catalogue/{name}", access=Access.EDIT)
async def async_delete(call: Call) -> Reply:
    """Delete an entry at the version named by the precondition."""
    name = call.params["name"]
    if not is_valid_name(name):
        return Err(_not_found("name", "no such entry"))
    key = idempotency_key(call.request.headers)
    in_force = _version_in_force(call, name, key.unwrap_or(""))
    expected = expected_version(call.request.headers, in_force=in_force)
    for checked in (key, expected):
        if isinstance(checked, Err):
            return Err(checked.err_value)
    if expected.unwrap() == 0:
        return Err(_not_found("name", "no such entry"))
    body = EntryDelete(name=name, expected_version=expected.unwrap(), team=call.team)
    return await async_submit(call, body, key=key.unwrap())


@route("GET", "/records/{record}", access=Access.READ)
async def async_get_record(call: Call) -> Reply:
    """Return the outcome of an edit, including one sent through another entry instance."""
    fleet = call.node.state.fleet
    record = call.params["record"]
    outcome = fleet.outcomes.get(record)
    if outcome is None:
        detail = (
            f"No such record was decided up to offset {fleet.next_offset - 1}. It may be on its "
            "way still, or it is older than its lifetime: then read the entry."
        )
        return Err(_not_found("record", detail))
    return Ok(Answer(value=_record_status(record, outcome)))


def is_valid_name(text: str) -> bool:
    """Return whether the text is a valid entry name."""
    return len(text) <= MAX_NAME_CHARS and _NAME.search(text) is not None


def _listed(name: str, stored: StoredEntry) -> ListedEntry:
    return ListedEntry(name=name, version=stored.version, offset=stored.offset, entry=stored.entry)


def _matches_query(entry: CatalogueEntry, query: dict[str, str]) -> bool:
    kind = type(entry).__struct_config__.tag
    return query.get("kind", kind) == kind and query.get("owner", entry.owner) == entry.owner


def _version_in_force(call: Call, name: str, key: str) -> int:
    """Return the version that an edit must name as its precondition; 0 if none is required.

    A retry under a decided key requires none: the version in force may be its own.
    """
    if record_id_of(call, key) in call.node.state.fleet.outcomes:
        return 0
    stored = call.node.state.fleet.catalogue.entries.get(name)
    return stored.version if stored is not None else 0


def _record_status(record: str, outcome: RecordOutcome) -> RecordStatus:
    return RecordStatus(
        record=record,
        accepted=not outcome.reason,
        offset=outcome.offset,
        version=outcome.version,
        reason=outcome.reason,
        detail=outcome.detail,
    )


def _not_found(field: str, detail: str) -> Problem:
    return Problem(
        status=404, kind=ApiRefusal.NOT_FOUND, title="Not found", detail=f"{field}: {detail}"
    )


def _invalid_name() -> Problem:
    reason = (
        f"up to {MAX_NAME_CHARS} lower-case letters, digits, '.', '_' or '-', with a letter or "
        "digit at both ends"
    )
    return Problem(
        status=422,
        kind=ApiRefusal.INVALID,
        title="The name is not valid",
        detail=f"name: {reason}",
        faults=(FieldFault(field="name", reason=reason),),
    )
