"""Who calls: a team is known by its token."""

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
    """Finds the team of a token, and says whether a caller may go on."""

    def __init__(self, *, teams: Mapping[str, TeamSettings], bind: str) -> None:
        self.digests = {name: _digest(team.token) for name, team in teams.items()}
        self.reads_open = is_loopback(bind)

    def admit(self, access: Access, authorization: str) -> Result[str, Problem]:
        """Return the caller's team, or an empty name where none is needed."""
        team = self.find_team(authorization)
        if team:
            return Ok(team)
        if access is Access.OPEN:
            return Ok("")
        # A wrong token is told even where none is needed: the operator should learn of it.
        if access is Access.READ and self.reads_open and not authorization:
            return Ok("")
        return Err(_refuse(authorization))

    def find_team(self, authorization: str) -> str:
        """Return the team whose token the header carries; empty if there is none.

        Every team's token is compared, each in constant time: an answer that came sooner for a
        longer right beginning, or for an earlier team, would let a caller guess a token piece
        by piece. Digests are compared, so that lengths don't show either.
        """
        scheme, _, token = authorization.partition(" ")
        shown = _digest(token.strip())
        found = ""
        for name, digest in self.digests.items():
            if hmac.compare_digest(digest, shown):
                found = name
        return found if scheme.lower() == _SCHEME else ""


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode("utf-8", "surrogatepass")).digest()


def _refuse(authorization: str) -> Problem:
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
