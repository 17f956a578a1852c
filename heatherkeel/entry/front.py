"""Serves callers: passes each request to the reducer and carries out the effects."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from functools import partial

import trio
from result import Err, Ok

from heatherkeel.helpers.asgi import (
    ClientGoneError,
    Message,
    Receive,
    Request,
    async_run_lifespan,
    parse_request,
)
from heatherkeel.helpers.asgi import Send as AsgiSend
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.requests.effects import (
    AbortAnswer,
    CloseConnections,
    PassOn,
    Refuse,
    Replay,
    Send,
)
from heatherkeel.requests.events import (
    AttemptEnded,
    AttemptResult,
    CallerGone,
    InputRefused,
    LeavingSource,
    RequestArrived,
    TargetLeaving,
)
from heatherkeel.requests.reasons import Outcome

from .claim_records import ClaimRecords
from .connections import TargetConnections
from .const import IDEMPOTENT_METHODS, REQUEST_ID_HEADER
from .exchanges import Exchange, Exchanges
from .node import Node
from .reading import InvalidInput, ReadRequest, async_read, fingerprint, outgoing_headers
from .responses import async_refuse, async_replay
from .sender import Attempt, OutgoingRequest, Sender, async_send_buffered

_LOGGER = logging.getLogger(__name__)


@dataclass(kw_only=True)
class Call:
    """The state of one caller's request while it is served."""

    exchange: Exchange
    outgoing: OutgoingRequest
    idempotent: bool
    receive: Receive
    send: AsgiSend
    caller_gone: bool = False
    attempt: Attempt | None = None
    attempt_scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    ended: bool = False
    watch_scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class ProxyApp:
    """The ASGI application for callers' requests to targets."""

    def __init__(self, *, node: Node) -> None:
        self.node = node
        self.exchanges = Exchanges(node=node)
        self.claims = ClaimRecords(node=node)
        self.connections = TargetConnections()
        self.sender = Sender(connections=self.connections)
        self.nursery: trio.Nursery | None = None
        self.unwatched_calls: list[Call] = []
        node.subscribe(CloseConnections, self.connections.retire)

    def start(self, nursery: trio.Nursery) -> None:
        """Start the background writes of claims and the detection of disconnected callers."""
        self.nursery = nursery
        self.claims.start(nursery)

    async def close(self) -> None:
        """Close the connections to targets."""
        await self.connections.close()

    async def __call__(self, scope: Message, receive: Receive, send: AsgiSend) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            return await async_run_lifespan(receive, send)
        if scope["type"] != "http":
            return None
        return await self._async_serve(parse_request(scope, receive), send)

    async def _async_serve(self, request: Request, send: AsgiSend) -> None:
        exchange = self.exchanges.open()
        try:
            match await async_read(self.node.state.local.routing, request):
                case Ok(read):
                    await self._async_exchange(exchange, request, read, send)
                case Err(invalid):
                    await self._async_refuse_input(exchange, invalid, send)
        except ClientGoneError:
            return
        finally:
            self.exchanges.close(exchange)

    async def _async_refuse_input(
        self, exchange: Exchange, invalid: InvalidInput, send: AsgiSend
    ) -> None:
        refused = InputRefused(
            now_ms=monotonic_ms(),
            request_id=exchange.request_id,
            reason=invalid.reason,
            detail=invalid.detail,
        )
        self.node.handle_event(refused)
        effect = await exchange.async_next()
        assert isinstance(effect, Refuse)
        await async_refuse(send, effect)

    async def _async_exchange(
        self,
        exchange: Exchange,
        request: Request,
        read: ReadRequest,
        send: AsgiSend,
    ) -> None:
        options = read.options
        idempotent = request.method in IDEMPOTENT_METHODS
        keyed = bool(options.key) and not idempotent
        outgoing = OutgoingRequest(
            method=request.method,
            raw_target=request.raw_target,
            headers=outgoing_headers(request.headers),
            body=read.body,
            record_response=keyed,
        )
        call = Call(
            exchange=exchange,
            outgoing=outgoing,
            idempotent=idempotent,
            receive=request.receive,
            send=send,
        )
        arrived = RequestArrived(
            now_ms=monotonic_ms(),
            request_id=exchange.request_id,
            path=request.path,
            idempotent=idempotent,
            key=options.key if keyed else "",
            fingerprint=fingerprint(outgoing) if keyed else "",
            deadline_ms=options.deadline_ms,
        )
        self.node.handle_event(arrived)
        self.unwatched_calls.append(call)
        try:
            await self._async_carry_out_effects(call)
        finally:
            call.ended = True
            call.watch_scope.cancel()

    async def async_watch_callers(self) -> None:
        """Start a disconnect watcher for each request that is still open; called by a timer.

        Most requests end before the timer fires, which saves a task for each of them.
        """
        assert self.nursery is not None
        calls, self.unwatched_calls = self.unwatched_calls, []
        for call in calls:
            if not call.ended:
                self.nursery.start_soon(self._async_watch_caller, call)

    async def _async_watch_caller(self, call: Call) -> None:
        """Handle a disconnect of the caller.

        An idempotent request is cancelled and its connection closed, so that a late response
        can't reach another caller. Any other request continues, so that a retry finds its
        outcome.
        """
        with call.watch_scope:
            while (await call.receive())["type"] != "http.disconnect":
                continue
            if call.ended:
                return
            call.caller_gone = True
            self.node.handle_event(
                CallerGone(now_ms=monotonic_ms(), request_id=call.exchange.request_id)
            )
            if call.idempotent:
                call.attempt_scope.cancel()

    async def _async_carry_out_effects(self, call: Call) -> None:
        """Carry out the effects of one request until its final response."""
        while True:
            match await call.exchange.async_next():
                case Send() as effect:
                    await self._async_attempt(call, effect)
                case PassOn() if call.attempt is not None:
                    is_head = call.outgoing.method == "HEAD"
                    return await async_send_buffered(call.send, call.attempt, is_head=is_head)
                case Refuse() as effect:
                    if effect.outcome is Outcome.UNKNOWN:
                        _log_unknown(call, effect)
                    return await async_refuse(call.send, effect)
                case Replay() as effect:
                    return await async_replay(call.send, effect)
                case AbortAnswer():
                    # The server closes the connection of a response that ends early.
                    return None

    async def _async_attempt(self, call: Call, effect: Send) -> None:
        started_ms = monotonic_ms()
        call.attempt = None
        call.attempt_scope = trio.CancelScope()
        if call.caller_gone and call.idempotent:
            call.attempt_scope.cancel()
        report = partial(self._report_attempt, call, effect, started_ms)
        with call.attempt_scope:
            try:
                call.attempt = await self.sender.async_send(call.outgoing, effect, call.send)
            except trio.Cancelled:
                report(AttemptResult.CALLER_GONE)
                raise
            report(call.attempt.result)

    def _report_attempt(
        self, call: Call, effect: Send, started_ms: int, result: AttemptResult
    ) -> None:
        """Report the attempt to the reducer after its connection is idle or closed."""
        now_ms = monotonic_ms()
        attempt = call.attempt
        is_complete = attempt is not None and result is AttemptResult.WHOLE_ANSWER
        recorded = (
            attempt.recorded()
            if attempt and is_complete and call.outgoing.record_response
            else None
        )
        ended = AttemptEnded(
            now_ms=now_ms,
            request_id=call.exchange.request_id,
            target=effect.target,
            result=result,
            latency_ms=now_ms - started_ms,
            server_error=attempt is not None and is_complete and attempt.status >= 500,
            answer=recorded,
        )
        # Must precede AttemptEnded, which frees the slot: a waiting request would otherwise be
        # sent to a target that has just announced its stop.
        if attempt is not None and attempt.leaving:
            self.node.handle_event(
                TargetLeaving(now_ms=now_ms, target=effect.target, source=LeavingSource.TARGET)
            )
        self.node.handle_event(ended)


def _log_unknown(call: Call, refusal: Refuse) -> None:
    """Log a request that may have run; an operator has to check the target."""
    request_id = dict(call.outgoing.headers).get(REQUEST_ID_HEADER.encode(), b"")
    extra = {"event": "outcome_unknown", "request_id": request_id.decode("latin-1")}
    _LOGGER.warning("outcome unknown: %s", refusal.reason, extra=extra)
