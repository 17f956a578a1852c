"""The callers' side: takes a request through the reducer, and carries out what it decides."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from functools import partial

import trio
from result import Err, Ok, Result

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
from heatherkeel.requests.const import MAX_KEY_CHARS
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
from heatherkeel.requests.reasons import RefusalReason
from heatherkeel.requests.targets import find_service

from .answers import async_refuse, async_replay
from .claim_records import ClaimRecords
from .connections import TargetConnections
from .const import (
    DEADLINE_HEADER,
    HOP_BY_HOP_HEADERS,
    IDEMPOTENT_METHODS,
    KEY_HEADER,
)
from .exchanges import Exchange, Exchanges
from .node import Node
from .sender import Attempt, OutgoingRequest, Sender, async_pass_on


@dataclass(kw_only=True)
class Call:
    """One caller's request while it is served."""

    exchange: Exchange
    outgoing: OutgoingRequest
    idempotent: bool
    receive: Receive
    answer: AsgiSend
    gone: bool = False
    attempt: Attempt | None = None
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class Front:
    """The ASGI application that callers see."""

    def __init__(self, *, node: Node) -> None:
        self.node = node
        self.exchanges = Exchanges(node=node)
        self.claims = ClaimRecords(node=node)
        self.connections = TargetConnections()
        self.sender = Sender(connections=self.connections)
        node.subscribe(CloseConnections, self.connections.retire)

    def start(self, nursery: trio.Nursery) -> None:
        """Begin to write claims."""
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
            match await self._async_read(request):
                case Ok(read):
                    await self._async_exchange(exchange, request, read, send)
                case Err(fault):
                    await self._async_refuse_input(exchange, fault, send)
        except ClientGoneError:
            return
        finally:
            self.exchanges.close(exchange)

    async def _async_read(self, request: Request) -> Result[ReadRequest, InputFault]:
        """Read headers and body; of a path without a service nothing more is read."""
        options = read_options(request.headers)
        if isinstance(options, Err):
            return Err(InputFault(reason=RefusalReason.BAD_HEADER, detail=options.err_value))
        routing = self.node.state.local.routing
        service = find_service(routing, request.path)
        if service is None:
            return Ok(ReadRequest(options=options.ok_value, body=b""))
        limit_bytes = routing.services[service].limits.max_body_bytes
        body = await request.async_body(limit_bytes=limit_bytes)
        if isinstance(body, Err):
            detail = f"at most {limit_bytes} bytes are taken"
            return Err(InputFault(reason=RefusalReason.BODY_TOO_LARGE, detail=detail))
        return Ok(ReadRequest(options=options.ok_value, body=body.ok_value))

    async def _async_refuse_input(
        self, exchange: Exchange, fault: InputFault, send: AsgiSend
    ) -> None:
        refused = InputRefused(
            now_ms=monotonic_ms(),
            request_id=exchange.request_id,
            reason=fault.reason,
            detail=fault.detail,
        )
        self.node.take(refused)
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
            keep_answer=keyed,
        )
        call = Call(
            exchange=exchange,
            outgoing=outgoing,
            idempotent=idempotent,
            receive=request.receive,
            answer=send,
        )
        arrived = RequestArrived(
            now_ms=monotonic_ms(),
            request_id=exchange.request_id,
            path=request.path,
            idempotent=idempotent,
            key=options.key if keyed else "",
            fingerprint=_fingerprint(outgoing) if keyed else "",
            deadline_ms=options.deadline_ms,
        )
        self.node.take(arrived)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._async_watch_caller, call)
            await self._async_carry_out(call)
            nursery.cancel_scope.cancel()

    async def _async_watch_caller(self, call: Call) -> None:
        """Notice that the caller hung up.

        What may be sent again is stopped, and its connection closed, so that the late answer can
        reach nobody else. What may run only once goes on, so that a repeat finds its outcome.
        """
        while (await call.receive())["type"] != "http.disconnect":
            continue
        call.gone = True
        self.node.take(CallerGone(now_ms=monotonic_ms(), request_id=call.exchange.request_id))
        if call.idempotent:
            call.scope.cancel()

    async def _async_carry_out(self, call: Call) -> None:
        """Carry out the effects of one request until its final answer."""
        while True:
            match await call.exchange.async_next():
                case Send() as effect:
                    await self._async_attempt(call, effect)
                case PassOn() if call.attempt is not None:
                    is_head = call.outgoing.method == "HEAD"
                    return await async_pass_on(call.answer, call.attempt, is_head=is_head)
                case Refuse() as effect:
                    return await async_refuse(call.answer, effect)
                case Replay() as effect:
                    return await async_replay(call.answer, effect)
                case AbortAnswer():
                    # Ending without the rest makes the server close the caller's connection.
                    return None

    async def _async_attempt(self, call: Call, effect: Send) -> None:
        started_ms = monotonic_ms()
        call.attempt = None
        call.scope = trio.CancelScope()
        if call.gone and call.idempotent:
            call.scope.cancel()
        report = partial(self._report, call, effect, started_ms)
        with call.scope:
            try:
                call.attempt = await self.sender.async_send(call.outgoing, effect, call.answer)
            except trio.Cancelled:
                report(AttemptResult.CALLER_GONE)
                raise
            report(call.attempt.result)

    def _report(self, call: Call, effect: Send, started_ms: int, result: AttemptResult) -> None:
        """Tell the reducer; the connection is idle again or closed by now."""
        now_ms = monotonic_ms()
        attempt = call.attempt
        whole = attempt is not None and result is AttemptResult.WHOLE_ANSWER
        kept = attempt.recorded() if attempt and whole and call.outgoing.keep_answer else None
        ended = AttemptEnded(
            now_ms=now_ms,
            request_id=call.exchange.request_id,
            target=effect.target,
            result=result,
            latency_ms=now_ms - started_ms,
            server_error=attempt is not None and whole and attempt.status >= 500,
            answer=kept,
        )
        # First, or the slot that the attempt frees goes to a request that waits: new work for
        # a target that has just said that it takes none.
        if attempt is not None and attempt.leaving:
            self.node.take(
                TargetLeaving(now_ms=now_ms, target=effect.target, source=LeavingSource.TARGET)
            )
        self.node.take(ended)


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerOptions:
    """What a caller may ask for by headers; `deadline_ms` 0 takes the service's."""

    key: str = ""
    deadline_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRequest:
    """A request that is wholly read."""

    options: CallerOptions
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class InputFault:
    """Why a request is not taken."""

    reason: RefusalReason
    detail: str


def read_options(headers: dict[str, str]) -> Result[CallerOptions, str]:
    """Read the caller's headers, or say in words what is wrong with them."""
    key = headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_CHARS:
        return Err(f"{KEY_HEADER} has {len(key)} characters, at most {MAX_KEY_CHARS} are taken")
    deadline = headers.get(DEADLINE_HEADER, "0")
    if not (deadline.isascii() and deadline.isdigit() and len(deadline) <= 9):
        return Err(f"{DEADLINE_HEADER} is not a whole number of milliseconds")
    return Ok(CallerOptions(key=key, deadline_ms=int(deadline)))


def outgoing_headers(headers: dict[str, str]) -> list[tuple[bytes, bytes]]:
    """Return what goes on to the target: all but what concerns the caller's connection only."""
    listed = headers.get("connection", "").lower().split(",")
    dropped = HOP_BY_HOP_HEADERS.union(name.strip() for name in listed)
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers.items()
        if name not in dropped
    ]


def _fingerprint(outgoing: OutgoingRequest) -> str:
    digest = hashlib.sha256()
    for part in (outgoing.method.encode(), outgoing.raw_target, outgoing.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
