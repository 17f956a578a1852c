"""Authenticates callers by their team's token."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Mapping
from typing import Final

from result import Err, Ok, Result

from heatherkeel.helpers.addresses import is_loopback
from heatherkeel.settings.models import TeamSettings

from .models import Access, Problem
from .reasons import ApiRefusal

_SCHEME: Final = "bearer"


class AccessControl:
    """Maps bearer tokens to teams and checks whether a request is allowed."""

    def __init__(self, *, teams: Mapping[str, TeamSettings], bind: str) -> None:
        self.digests = {name: _digest(team.token) for name, team in teams.items()}
        self.reads_open = is_loopback(bind)

    def authorize(self, access: Access, authorization: str) -> Result[str, Problem]:
        """Return the caller's team, or an empty name where no token is required."""
        team = self.find_team(authorization)
        if team:
            return Ok(team)
        if access is Access.OPEN:
            return Ok("")
        # An invalid token is rejected even where none is required, so that the caller notices it.
        if access is Access.READ and self.reads_open and not authorization:
            return Ok("")
        return Err(_unauthorized(authorization))

    def find_team(self, authorization: str) -> str:
        """Return the team whose token the header carries; empty if there is none.

        Prevents timing attacks: every team's token is compared in constant time, and digests
        are compared so that the token's length isn't revealed.
        """
        scheme, _, token = authorization.partition(" ")
        presented_digest = _digest(token.strip())
        matched_team = ""
        for name, digest in self.digests.items():
            if hmac.compare_digest(digest, presented_digest):
                matched_team = name
        return matched_team if scheme.lower() == _SCHEME else ""


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode("utf-8", "surrogatepass")).digest()


def _unauthorized(authorization: str) -> Problem:
    detail = (
        "authorization: no team has this token"
        if authorization
        else "authorization: missing, expected `Bearer TOKEN`"
    )
    return Problem(
        status=401,
        kind=ApiRefusal.UNAUTHORIZED,
        title="A team's token is needed",
        detail=detail,
        headers={"www-authenticate": "Bearer"},
    )
