"""The ASGI application of the job API."""

from __future__ import annotations

import logging
import time

from heatherkeel.helpers.asgi import (
    CLOSE_HEADER as CLOSE_HEADER,
)
from heatherkeel.helpers.asgi import (
    ClientGoneError,
    Message,
    Receive,
    Send,
    add_close_header,
    async_run_lifespan,
    parse_request,
)

from .exchange import Exchange, GatewayContext
from .serving import async_serve

_LOGGER = logging.getLogger(__name__)


class JobApiApp:
    """Accepts and cancels jobs, and returns their states.

    A process that is not ready closes each connection after its response. The load balancer sends
    new connections elsewhere, but open ones would otherwise keep their callers at this process.
    """

    def __init__(self, *, context: GatewayContext) -> None:
        self.context = context

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            return await async_run_lifespan(receive, send)
        if scope["type"] != "http":
            return None
        started_s = time.monotonic()

        async def async_send(message: Message) -> None:
            if message["type"] == "http.response.start" and not self.context.accepts_callers():
                message["headers"] = add_close_header(message["headers"])
            await send(message)

        exchange = Exchange(
            context=self.context, request=parse_request(scope, receive), send=async_send
        )
        try:
            await async_serve(exchange)
        except ClientGoneError:
            _LOGGER.info("caller left", extra={"event": "caller_gone", "path": scope["path"]})
        self.context.metrics.observe(method=scope["method"], seconds=time.monotonic() - started_s)
        return None
