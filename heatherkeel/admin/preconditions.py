"""Parses precondition and idempotency headers."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Final

from result import Err, Ok, Result

from heatherkeel.core.envelopes import new_record_id

from .const import IDEMPOTENCY_KEY_PATTERN
from .models import FieldFault, Problem
from .reasons import ApiRefusal

MAX_VERSION: Final = 1_000_000
_ETAG: Final = re.compile(r'"([1-9][0-9]{0,6})"')
_KEY: Final = re.compile(IDEMPOTENCY_KEY_PATTERN)


def format_etag(version: int) -> str:
    """Return the entity tag of a version."""
    return f'"{version}"'


def parse_etag(text: str) -> int | None:
    """Return the version of an entity tag; None if it is not valid."""
    matched = _ETAG.fullmatch(text.strip())
    if matched is None or int(matched.group(1)) > MAX_VERSION:
        return None
    return int(matched.group(1))


def expected_version(headers: Mapping[str, str], *, in_force: int) -> Result[int, Problem]:
    """Return the version that an edit expects; 0 if the entry must not exist.

    Without a precondition an entry can be created but not changed, which prevents lost updates.
    """
    match = headers.get("if-match")
    none_match = headers.get("if-none-match")
    if match is not None and none_match is not None:
        return Err(_bad_header("if-none-match", "stands beside if-match; send one of them"))
    if none_match is not None:
        return Ok(0) if none_match.strip() == "*" else Err(_bad_header("if-none-match", "not `*`"))
    if match is not None:
        version = parse_etag(match)
        fault = 'not one entity tag of an entry, such as `"3"`'
        return Ok(version) if version is not None else Err(_bad_header("if-match", fault))
    return Err(_missing_precondition(in_force)) if in_force else Ok(0)


def idempotency_key(headers: Mapping[str, str]) -> Result[str, Problem]:
    """Return the operator's idempotency key, or a new one."""
    key = headers.get("idempotency-key")
    if key is None:
        return Ok(new_record_id())
    if _KEY.fullmatch(key) is None:
        return Err(_bad_header("idempotency-key", f"does not match {IDEMPOTENCY_KEY_PATTERN}"))
    return Ok(key)


def _bad_header(name: str, reason: str) -> Problem:
    return Problem(
        status=400,
        kind=ApiRefusal.BAD_HEADER,
        title="A header can't be read",
        detail=f"{name}: {reason}",
        faults=(FieldFault(field=name, reason=reason),),
    )


def _missing_precondition(in_force: int) -> Problem:
    return Problem(
        status=428,
        kind=ApiRefusal.PRECONDITION_REQUIRED,
        title="Say which version this edit replaces",
        detail=f"if-match: missing; the version in force is {format_etag(in_force)}",
        headers={"etag": format_etag(in_force)},
        extra={"version": in_force},
    )
