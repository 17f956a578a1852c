"""The ASGI application on the admin port."""

from __future__ import annotations

from collections.abc import Callable

from result import Err, Ok

from heatherkeel.core.models import RejectReason
from heatherkeel.entry.node import Node
from heatherkeel.helpers.asgi import (
    ClientGoneError,
    Message,
    Receive,
    Request,
    Send,
    async_respond,
    async_respond_json,
    async_respond_problem,
    async_run_lifespan,
    parse_request,
)

from . import catalogue, jobs, maintenance, status  # noqa: F401
from .access import AccessControl
from .const import RETRY_AFTER_S
from .models import Access, Answer, Call, Problem, Reply
from .reasons import ApiRefusal
from .routes import Route, RouteMatch, find_routes


class AdminApp:
    """Routes requests, checks access and sends replies."""

    def __init__(
        self, *, node: Node, on_refusal: Callable[[ApiRefusal], None] = lambda refusal: None
    ) -> None:
        self.node = node
        self.on_refusal = on_refusal
        self.access = AccessControl(teams=node.settings.teams, bind=node.settings.admin.bind)

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            return await async_run_lifespan(receive, send)
        if scope["type"] != "http":
            return None
        request = parse_request(scope, receive)
        try:
            reply = await self._async_reply(request)
        except ClientGoneError:
            return None
        if isinstance(reply, Err):
            self.on_refusal(_refusal_label(reply.err_value.kind))
        return await _async_send(send, reply)

    async def _async_reply(self, request: Request) -> Reply:
        match = find_routes(request.path)
        if match is None:
            return Err(Problem(status=404, kind=ApiRefusal.NO_SUCH_PATH, title="No such path"))
        # The ASGI server omits the body of a response to HEAD.
        method = "GET" if request.method == "HEAD" else request.method
        route = match.routes.get(method)
        if route is None:
            return Err(_method_not_allowed(match))
        return await self._async_call(request, match, route)

    async def _async_call(self, request: Request, match: RouteMatch, route: Route) -> Reply:
        authorized = self.access.authorize(route.access, request.headers.get("authorization", ""))
        if isinstance(authorized, Err):
            return Err(authorized.err_value)
        if route.access is not Access.OPEN and not self.node.follower.caught_up.is_set():
            return Err(_not_ready())
        call = Call(node=self.node, request=request, team=authorized.ok_value, params=match.params)
        return await route.handler(call)


def _refusal_label(kind: str) -> ApiRefusal:
    """Return the metric label of a problem."""
    if isinstance(kind, RejectReason) or kind not in set(ApiRefusal):
        return ApiRefusal.BY_FOLD
    return ApiRefusal(kind)


def _method_not_allowed(match: RouteMatch) -> Problem:
    allowed = sorted({*match.routes, "HEAD"} if "GET" in match.routes else match.routes)
    return Problem(
        status=405,
        kind=ApiRefusal.WRONG_METHOD,
        title="The path has no such method",
        detail=f"allowed: {', '.join(allowed)}",
        headers={"allow": ", ".join(allowed)},
    )


def _not_ready() -> Problem:
    """Return 503 until the log has been read to its end; until then a 404 could be wrong."""
    return Problem(
        status=503,
        kind=ApiRefusal.NOT_READY,
        title="No configuration is in force here yet",
        detail="Nothing was accepted: this entry instance has not read the log to its end.",
        headers={"retry-after": str(RETRY_AFTER_S)},
    )


async def _async_send(send: Send, reply: Reply) -> None:
    match reply:
        case Ok(answer):
            await _async_send_answer(send, answer)
        case Err(problem):
            await _async_send_problem(send, problem)


async def _async_send_answer(send: Send, answer: Answer) -> None:
    if answer.value is None:
        return await async_respond(send, status=answer.status, headers=answer.headers)
    return await async_respond_json(
        send, answer.value, status=answer.status, headers=answer.headers
    )


async def _async_send_problem(send: Send, problem: Problem) -> None:
    extra = dict(problem.extra)
    if problem.faults:
        extra["faults"] = list(problem.faults)
    await async_respond_problem(
        send,
        status=problem.status,
        kind=problem.kind,
        title=problem.title,
        detail=problem.detail,
        headers=problem.headers,
        extra=extra,
    )
