"""Registry of the API's routes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from heatherkeel.core.errors import RegistrationError

from .models import Access, Call, Reply

Handler = Callable[[Call], Awaitable[Reply]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """The handler of one method of a path, and the access it requires."""

    handler: Handler
    access: Access


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteMatch:
    """The routes of a path, by method, and its path parameters."""

    routes: dict[str, Route]
    params: dict[str, str]


ROUTES: Final[dict[str, dict[str, Route]]] = {}


def route(method: str, path: str, *, access: Access) -> Callable[[Handler], Handler]:
    """Register a handler; a path segment in braces is a parameter."""

    def register(handler: Handler) -> Handler:
        routes = ROUTES.setdefault(path, {})
        if method in routes:
            raise RegistrationError(f"{method} {path} is registered twice")
        routes[method] = Route(handler=handler, access=access)
        return handler

    return register


def find_routes(path: str) -> RouteMatch | None:
    """Return the routes that match a requested path."""
    parts = path.split("/")
    for pattern, routes in ROUTES.items():
        params = _match_path(pattern.split("/"), parts)
        if params is not None:
            return RouteMatch(routes=routes, params=params)
    return None


def _match_path(pattern: list[str], parts: list[str]) -> dict[str, str] | None:
    if len(pattern) != len(parts):
        return None
    params: dict[str, str] = {}
    for wanted, part in zip(pattern, parts, strict=True):
        if wanted.startswith("{"):
            params[wanted.strip("{}")] = part
        elif wanted != part:
            return None
    return params
