"""The callers' side: takes a request, sends it to a target, and passes the whole answer back."""

from __future__ import annotations

import logging

import httpcore
import trio
from result import Err

from heatherkeel.catalogue.models import ServiceEntry
from heatherkeel.helpers.asgi import (
    ClientGoneError,
    Message,
    Receive,
    Request,
    Send,
    async_respond_problem,
    async_run_lifespan,
    parse_request,
)
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.membership.sponsor import may_route
from heatherkeel.pools.models import Instance, InstanceStatus

from .const import (
    DEFAULT_RETRY_AFTER_S,
    HOP_BY_HOP_HEADERS,
    INSTANCE_HEADER,
    OUTCOME_HEADER,
)
from .node import Node

_LOGGER = logging.getLogger(__name__)


class Front:
    """The ASGI application that callers see."""

    def __init__(self, *, node: Node) -> None:
        self.node = node
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=1024, max_keepalive_connections=256, keepalive_expiry=30, retries=0
        )

    async def close(self) -> None:
        """Close the connections to targets."""
        await self.pool.aclose()

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            return await async_run_lifespan(receive, send)
        if scope["type"] != "http":
            return None
        return await self._async_serve(parse_request(scope, receive), send)

    async def _async_serve(self, request: Request, send: Send) -> None:
        service = self._find_service(request.path)
        if service is None:
            return await _async_refuse(send, 404, "no_such_service", "No service has this path")
        try:
            read = await request.async_body(limit_bytes=service.limits.max_body_bytes)
        except ClientGoneError:
            return None
        if isinstance(read, Err):
            return await _async_refuse(send, 413, "body_too_large", "The body is too large")
        if not may_route(self.node.state, monotonic_ms()):
            return await _async_refuse(send, 503, "no_sponsor", "No peer answers for this instance")
        picked = self._pick(service)
        if picked is None:
            return await _async_refuse(send, 503, "no_target", "No target is available")
        name, instance = picked
        # No await between the pick and the count: an acknowledgement in between would say that
        # nothing is in progress, and the target would be stopped under this request.
        view = self.node.state.local.routing.view_target(name, instance)
        view.in_progress += 1
        try:
            await self._async_forward(request, send, service, picked, read.ok_value)
        finally:
            view.in_progress -= 1

    def _find_service(self, path: str) -> ServiceEntry | None:
        """Return the service with the longest matching path prefix."""
        entries = [stored.entry for stored in self.node.state.fleet.catalogue.entries.values()]
        matching = [
            entry
            for entry in entries
            if isinstance(entry, ServiceEntry) and path.startswith(entry.path_prefix)
        ]
        return max(matching, key=lambda entry: len(entry.path_prefix), default=None)

    def _pick(self, service: ServiceEntry) -> tuple[str, Instance] | None:
        """Return the next target in turn, of the own availability zone if it has any."""
        routing = self.node.state.local.routing
        usable = [
            (name, instance)
            for name, instance in sorted(self.node.state.fleet.pools.instances.items())
            if instance.pool == service.pool
            and instance.status is InstanceStatus.SERVING
            and name not in routing.leaving
        ]
        own_zone = [item for item in usable if item[1].zone == self.node.settings.instance.zone]
        choice = own_zone or usable
        if not choice:
            return None
        routing.turn += 1
        return choice[routing.turn % len(choice)]

    async def _async_forward(
        self,
        request: Request,
        send: Send,
        service: ServiceEntry,
        picked: tuple[str, Instance],
        body: bytes,
    ) -> None:
        name, instance = picked
        url = httpcore.URL(
            scheme=b"http",
            host=instance.address.split(":")[0].encode(),
            port=int(instance.address.split(":")[1]),
            target=request.raw_target,
        )
        headers = [
            (key, value) for key, value in request.headers.items() if key not in HOP_BY_HOP_HEADERS
        ]
        try:
            with trio.fail_after(service.limits.deadline_ms / 1000):
                response = await self.pool.request(
                    request.method, url, headers=headers, content=body
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            return await _async_refuse(send, 503, "connect_failed", "The target did not connect")
        except (httpcore.NetworkError, httpcore.ProtocolError, trio.TooSlowError):
            return await _async_refuse(
                send, 504, "no_answer", "Sent, but no whole answer came", outcome="unknown"
            )
        return await _async_pass_on(send, name, response)


async def _async_pass_on(send: Send, name: str, response: httpcore.Response) -> None:
    skipped = {key.encode() for key in HOP_BY_HOP_HEADERS} | {b"content-length"}
    headers = [(key.lower(), value) for key, value in response.headers]
    headers = [(key, value) for key, value in headers if key not in skipped]
    outcome = b"ran" if (OUTCOME_HEADER.encode(), b"not_run") not in headers else b"not_run"
    headers = [item for item in headers if item[0] != OUTCOME_HEADER.encode()]
    headers.append((b"content-length", str(len(response.content)).encode()))
    headers.append((OUTCOME_HEADER.encode(), outcome))
    headers.append((INSTANCE_HEADER.encode(), name.encode()))
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    await send({"type": "http.response.body", "body": response.content})


async def _async_refuse(
    send: Send, status: int, kind: str, title: str, *, outcome: str = "not_run"
) -> None:
    headers = {OUTCOME_HEADER: outcome}
    if status == 503:
        headers["retry-after"] = str(DEFAULT_RETRY_AFTER_S)
    await async_respond_problem(send, status=status, kind=kind, title=title, headers=headers)
