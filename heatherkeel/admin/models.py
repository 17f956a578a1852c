"""Requests and replies of the API's handlers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from result import Result

from heatherkeel.entry.node import Node
from heatherkeel.helpers.asgi import Request


class Access(StrEnum):
    """The authorization that a route requires."""

    OPEN = "open"
    READ = "read"
    """Any team's token; nothing where the port is bound to a loopback address."""
    EDIT = "edit"
    """A team's token; the fold checks that the team owns the entry."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """One request to the API; `team` is empty if the caller sent no token."""

    node: Node
    request: Request
    team: str
    params: Mapping[str, str]


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """A successful response; `value` is encoded as JSON, None sends no body."""

    value: Any = None
    status: int = 200
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class FieldFault:
    """A validation fault and the path of its field."""

    field: str
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """An error response (RFC 9457).

    `kind` is the last part of its `type`: an `ApiRefusal`, or the `RejectReason` of the fold.
    """

    status: int
    kind: str
    title: str
    detail: str = ""
    faults: tuple[FieldFault, ...] = ()
    headers: Mapping[str, str] = field(default_factory=dict)
    extra: Mapping[str, Any] = field(default_factory=dict)


Reply = Result[Answer, Problem]
