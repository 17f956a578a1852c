"""Tests of connections between processes."""

from __future__ import annotations

import trio

from heatherkeel.questions.const import REPLACED_AFTER_MS, UNANSWERED_BEFORE_REPLACING
from heatherkeel.questions.links import QuestionLinks
from heatherkeel.questions.messages import (
    Answer,
    NotOwner,
    Question,
    QueueQuestion,
    RelayAnswer,
    SlowQuestion,
)

QUESTION = QueueQuestion(partition=0, queue="")


def make_links() -> QuestionLinks:
    """Return the links of a process that owns nothing."""

    def answer(question: Question) -> Answer:
        return NotOwner()

    async def async_answer_slow(question: SlowQuestion) -> Answer:
        return RelayAnswer()

    return QuestionLinks(bind="127.0.0.1:0", answer=answer, async_answer_slow=async_answer_slow)


class CuttingProxy:
    """Passes the bytes of connections on; may let all connections of the moment go silent."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.connections = 0
        self.silent_up_to = 0

    async def async_run(self, task_status: trio.TaskStatus[None]) -> None:
        """Pass bytes on until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = "127.0.0.1:" + str(listeners[0].socket.getsockname()[1])
        task_status.started()
        await trio.serve_listeners(self._async_pass, listeners)

    def silence(self) -> None:
        """Let all connections go silent, without an error, while new ones work."""
        self.silent_up_to = self.connections

    async def _async_pass(self, near: trio.SocketStream) -> None:
        self.connections += 1
        number = self.connections
        host, port = self.target.split(":")
        far = await trio.open_tcp_stream(host, int(port))

        async def async_copy(source: trio.SocketStream, sink: trio.SocketStream) -> None:
            async for data in source:
                if number > self.silent_up_to:
                    await sink.send_all(data)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(async_copy, near, far)
            nursery.start_soon(async_copy, far, near)


def test_connection_that_went_silent_is_replaced() -> None:
    """Guards against asking on a dead connection for seconds while a new one would work."""

    async def async_test() -> None:
        async with trio.open_nursery() as nursery:
            asking, asked = make_links(), make_links()
            asking.start(nursery)
            asked.start(nursery)
            proxy = CuttingProxy(asked.address)
            await nursery.start(proxy.async_run)
            assert await asking.async_ask(proxy.address, QUESTION, timeout_s=5.0) is not None
            proxy.silence()
            needed_s = REPLACED_AFTER_MS / 1000
            for _ in range(UNANSWERED_BEFORE_REPLACING):
                assert await asking.async_ask(proxy.address, QUESTION, timeout_s=needed_s) is None
            assert await asking.async_ask(proxy.address, QUESTION, timeout_s=1.0) is not None
            assert proxy.connections == 2
            asking.close()
            asked.close()
            nursery.cancel_scope.cancel()

    trio.run(async_test)


def test_question_after_the_links_are_closed_gets_no_answer() -> None:
    """Guards against a stop that ends with an exception, as tasks still ask while it goes on."""

    async def async_test() -> Answer | None:
        links = make_links()
        async with trio.open_nursery() as nursery:
            links.start(nursery)
            links.close()
            answer = await links.async_ask("127.0.0.1:9", QUESTION)
            nursery.cancel_scope.cancel()
        return answer

    assert trio.run(async_test) is None
