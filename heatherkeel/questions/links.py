"""Sockets for questions: one that receives them, and one to each process that was asked."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

import trio
import zmq
from prometheus_client import CollectorRegistry
from result import Err

from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.membership.connection_guard import ConnectionGuard
from heatherkeel.membership.const import MAX_CONNECTIONS
from heatherkeel.membership.metrics import PeerMetrics
from heatherkeel.membership.sockets import EdgeSocket, Frames

from .const import (
    ANSWER_TIMEOUT_S,
    CONNECT_POLL_S,
    CONNECT_TIMEOUT_MS,
    MAX_RECONNECT_MS,
    MAX_SLOW_BYTES,
    REPLACED_AFTER_MS,
    UNANSWERED_BEFORE_REPLACING,
    UNUSED_AFTER_MS,
)
from .messages import (
    AdmissionQuestion,
    Answer,
    Question,
    RelayQuestion,
    SlowQuestion,
    StoreJobQuestion,
    decode_answer,
    decode_question,
    encode_message,
)

_LOGGER = logging.getLogger(__name__)

MAX_DETAIL_CHARS: Final = 500
"""Length of an error's text that is logged, in characters."""


@dataclass(kw_only=True, slots=True)
class PendingQuestion:
    """A question that was sent and its answer, if it has arrived."""

    answered: trio.Event = field(default_factory=trio.Event)
    answer: Answer | None = None


class QuestionLink:
    """A connection to one process; unanswered questions time out and aren't sent again."""

    def __init__(self, *, context: zmq.Context[zmq.Socket[bytes]], address: str) -> None:
        self.socket = EdgeSocket(context=context, kind=zmq.DEALER, handle=self._handle_frames)
        for option, value in (
            (zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS),
            (zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MS),
        ):
            self.socket.socket.setsockopt(option, value)
        self.socket.socket.connect(f"tcp://{address}")
        self.pending: dict[bytes, PendingQuestion] = {}
        self.question_count = 0
        self.used_ms = monotonic_ms()
        self.heard_ms = monotonic_ms()
        """When a message was last received."""
        self.unanswered = 0
        """Questions that were sent and not answered since then."""

    def is_dead(self) -> bool:
        """Return whether the connection, or the process at its end, seems to be gone."""
        return (
            self.unanswered >= UNANSWERED_BEFORE_REPLACING
            and monotonic_ms() - self.heard_ms > REPLACED_AFTER_MS
        )

    async def async_ask(self, question: Question, *, timeout_s: float) -> Answer | None:
        """Send a question and return the answer; None if none arrives in time."""
        self.used_ms = monotonic_ms()
        self.question_count += 1
        number = str(self.question_count).encode()
        pending = self.pending[number] = PendingQuestion()
        try:
            with trio.move_on_after(timeout_s):
                while not self.socket.send([number, encode_message(question)]):
                    await trio.sleep(CONNECT_POLL_S)
                self.unanswered += 1
                await pending.answered.wait()
        finally:
            del self.pending[number]
        return pending.answer

    def _handle_frames(self, frames: Frames) -> None:
        if len(frames) != 2:
            return
        self.heard_ms = monotonic_ms()
        self.unanswered = 0
        pending = self.pending.get(frames[0])
        if pending is None:
            return
        decoded = decode_answer(frames[1])
        if isinstance(decoded, Err):
            _LOGGER.error(
                "cannot decode an answer",
                extra={"event": "answer_unreadable", "detail": decoded.err_value},
            )
        else:
            pending.answer = decoded.ok_value
        pending.answered.set()


class QuestionLinks:
    """The links of one process: its socket for questions and its connections to others."""

    def __init__(
        self,
        *,
        bind: str,
        answer: Callable[[Question], Answer],
        async_answer_slow: Callable[[SlowQuestion], Awaitable[Answer]],
        on_question: Callable[[], None] = lambda: None,
        max_connections: int = MAX_CONNECTIONS,
        metrics: PeerMetrics | None = None,
    ) -> None:
        self.address = bind
        self.answer = answer
        self.async_answer_slow = async_answer_slow
        self.on_question = on_question
        self.context: zmq.Context[zmq.Socket[bytes]] = zmq.Context(io_threads=1)
        self.router = EdgeSocket(context=self.context, kind=zmq.ROUTER, handle=self._handle_frames)
        self.metrics = metrics or PeerMetrics(registry=CollectorRegistry())
        self.slow_bytes = 0
        """Size of the questions that wait for a call to the store."""
        self.guard = ConnectionGuard(
            socket=self.router.socket,
            context=self.context,
            limit=max_connections,
            on_count=self.metrics.connections.set,
            on_closed=self.metrics.closed.inc,
        )
        self.links: dict[str, QuestionLink] = {}
        self.nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Open the port; raises `zmq.ZMQError` if it is in use."""
        self.nursery = nursery
        self.guard.start(nursery)
        self.router.socket.bind(f"tcp://{self.address}")
        endpoint = self.router.socket.getsockopt_string(zmq.LAST_ENDPOINT)
        self.address = endpoint.removeprefix("tcp://")
        self.router.start(nursery)

    def close(self) -> None:
        """Close all links; pending questions get no answer."""
        for link in self.links.values():
            link.socket.close()
        self.guard.close()
        self.router.close()
        self.context.destroy(linger=0)

    async def async_ask(
        self, address: str, question: Question, *, timeout_s: float = ANSWER_TIMEOUT_S
    ) -> Answer | None:
        """Ask the process at an address; returns None if no answer arrives in time."""
        if self.context.closed:
            # Other tasks still ask while the process stops, and no socket can be opened any more.
            return None
        if address == self.address:
            assert not isinstance(
                question, RelayQuestion
            ), "a process never relays a call to itself"
            if isinstance(question, StoreJobQuestion | AdmissionQuestion):
                return await self._async_answer_own(question, timeout_s)
            return self.answer(question)
        self._close_unused()
        link = self.links.get(address)
        if link is None:
            link = self.links[address] = QuestionLink(context=self.context, address=address)
            assert self.nursery is not None
            link.socket.start(self.nursery)
        answer = await link.async_ask(question, timeout_s=timeout_s)
        if answer is None and link.is_dead():
            self._replace(address, link)
        return answer

    def _replace(self, address: str, link: QuestionLink) -> None:
        """Close a dead link, so that the next question opens a new connection.

        A connection may go silent without an error. After a network partition, TCP also waits for
        seconds before it sends its bytes again, while a new connection works at once.
        """
        if self.links.get(address) is not link:
            return
        _LOGGER.info(
            "no answer on a connection; opening a new one",
            extra={"event": "link_replaced", "address": address, "unanswered": link.unanswered},
        )
        del self.links[address]
        link.socket.close()

    def _close_unused(self) -> None:
        now_ms = monotonic_ms()
        for address, link in list(self.links.items()):
            if not link.pending and now_ms - link.used_ms > UNUSED_AFTER_MS:
                del self.links[address]
                link.socket.close()

    def _handle_frames(self, frames: Frames) -> None:
        if len(frames) != 3:
            return
        decoded = decode_question(frames[2])
        if isinstance(decoded, Err):
            _LOGGER.error(
                "cannot decode a question",
                extra={"event": "question_unreadable", "detail": decoded.err_value},
            )
            return
        self.on_question()
        question = decoded.ok_value
        if isinstance(question, SlowQuestion):
            self._start_slow_answer(frames, question)
            return
        try:
            answer = self.answer(question)
        except AssertionError:
            raise
        except Exception as err:
            # One question of another process must not end this one.
            self._log_unanswered(question, err)
            return
        self._reply(frames, answer)

    def _log_unanswered(self, question: Question, err: Exception) -> None:
        """Log a question that can't be answered; who asked goes on as after a lost answer."""
        self.metrics.failed.inc()
        _LOGGER.error(
            "a question can't be answered",
            extra={
                "event": "question_failed",
                "question": type(question).__name__,
                "detail": repr(err)[:MAX_DETAIL_CHARS],
            },
        )

    async def _async_answer_own(self, question: SlowQuestion, timeout_s: float) -> Answer | None:
        with trio.move_on_after(timeout_s):
            return await self.async_answer_slow(question)
        return None

    def _start_slow_answer(self, frames: Frames, question: SlowQuestion) -> None:
        """Answer a question that needs a call to the store, without blocking other questions.

        Questions that wait for a slow store would fill the memory. Who asked one that is dropped
        goes on without an answer, as after a lost one.
        """
        assert self.nursery is not None
        size = len(frames[2])
        if self.slow_bytes + size > MAX_SLOW_BYTES:
            self.metrics.dropped.inc()
            return
        self.slow_bytes += size
        self.nursery.start_soon(self._async_reply_slowly, frames, question, size)

    async def _async_reply_slowly(self, frames: Frames, question: SlowQuestion, size: int) -> None:
        try:
            self._reply(frames, await self.async_answer_slow(question))
        finally:
            self.slow_bytes -= size

    def _reply(self, frames: Frames, answer: Answer) -> None:
        self.router.send([frames[0], frames[1], encode_message(answer)])
