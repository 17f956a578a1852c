"""Reads and validates request bodies."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from heatherkeel.catalogue.models import CatalogueEntry
from heatherkeel.helpers.asgi import JSON_TYPE, BodyTooLarge, BodyTooSlow, NoMemory, Request
from heatherkeel.helpers.faults import collect_faults, format_path

from .const import BODY_TIMEOUT_S, MAX_BODY_BYTES, RETRY_AFTER_S
from .models import FieldFault, Problem
from .reasons import ApiRefusal

ENTRY: Final = "entry"
"""Prefix of the field paths of an entry."""

INVALID_ENTRY: Final = "The entry is not valid"


async def async_read_body(
    request: Request, *, limit_bytes: int, what: str = "body"
) -> Result[bytes, Problem]:
    """Read the whole body; `what` names it in problems.

    The timeout keeps a stalled caller from holding its connection open. Raises
    `ClientGoneError` if the caller disconnects.
    """
    read = await request.async_body(limit_bytes=limit_bytes, timeout_s=BODY_TIMEOUT_S)
    match read:
        case Err(BodyTooLarge(limit_bytes=limit)):
            return Err(_body_too_large(what, limit))
        case Err(BodyTooSlow()):
            return Err(_body_timeout(what))
        case Err(NoMemory()):
            return Err(_no_memory(what))
    return Ok(read.unwrap())


async def async_read_entry(
    request: Request, *, teams: Collection[str]
) -> Result[CatalogueEntry, Problem]:
    """Read the body as an entry; raises `ClientGoneError` if the caller disconnects."""
    if not _is_json(request.headers.get("content-type", JSON_TYPE)):
        return Err(_wrong_content_type())
    read = await async_read_body(request, limit_bytes=MAX_BODY_BYTES, what=ENTRY)
    if isinstance(read, Err):
        return read
    return decode_entry(read.ok_value, teams=teams)


def decode_entry(body: bytes, *, teams: Collection[str]) -> Result[CatalogueEntry, Problem]:
    """Decode an entry, or return a problem that lists all faults."""
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
        return Err(_malformed(str(err)))
    faults = _shape_faults(document) + _owner_faults(document, teams)
    if faults:
        return Err(invalid_body(faults, title=INVALID_ENTRY))
    return Ok(msgspec.convert(document, CatalogueEntry))


def invalid_body(faults: list[FieldFault], *, title: str) -> Problem:
    """Return a problem that lists the faults of a body."""
    return Problem(
        status=422,
        kind=ApiRefusal.INVALID,
        title=title,
        detail="\n".join(f"{fault.field}: {fault.reason}" for fault in faults),
        faults=tuple(faults),
    )


def _is_json(content_type: str) -> bool:
    return content_type.partition(";")[0].strip().lower() == JSON_TYPE


def _shape_faults(document: Any) -> list[FieldFault]:
    return [
        FieldFault(field=format_path((ENTRY, *fault.path)), reason=fault.reason)
        for fault in collect_faults(document, CatalogueEntry)
    ]


def _owner_faults(document: Any, teams: Collection[str]) -> list[FieldFault]:
    """Return a fault if the owner is not a configured team: nobody could edit the entry.

    Checked here because the fold has no access to the settings.
    """
    owner = document.get("owner") if isinstance(document, dict) else None
    if not isinstance(owner, str) or owner in teams:
        return []
    return [FieldFault(field=f"{ENTRY}.owner", reason="no team of this name has a token here")]


def _wrong_content_type() -> Problem:
    return Problem(
        status=415,
        kind=ApiRefusal.WRONG_CONTENT_TYPE,
        title="An entry is sent as JSON",
        detail=f"content-type: expected {JSON_TYPE}",
    )


def _body_timeout(what: str) -> Problem:
    return Problem(
        status=408,
        kind=ApiRefusal.BODY_TOO_SLOW,
        title=f"The {what} did not come in time",
        detail=f"{what}: waited {BODY_TIMEOUT_S:g} s; nothing was accepted",
        headers={"connection": "close"},
    )


def _no_memory(what: str) -> Problem:
    return Problem(
        status=503,
        kind=ApiRefusal.OVERLOADED,
        title=f"There is no memory for the {what} at the moment",
        detail=f"{what}: nothing was accepted",
        headers={"connection": "close", "retry-after": str(RETRY_AFTER_S)},
    )


def _body_too_large(what: str, limit_bytes: int) -> Problem:
    return Problem(
        status=413,
        kind=ApiRefusal.BODY_TOO_LARGE,
        title=f"The {what} is too large",
        detail=f"{what}: at most {limit_bytes} bytes are read",
        extra={"limit_bytes": limit_bytes},
    )


def _malformed(message: str) -> Problem:
    return invalid_body(
        [FieldFault(field=ENTRY, reason=f"not JSON: {message}")], title=INVALID_ENTRY
    )
