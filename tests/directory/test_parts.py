"""Tests of large records that processes hand over part by part."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

import msgspec
import trio

from heatherkeel.directory.const import PART_BYTES
from heatherkeel.directory.parts import PartFetcher, PartServer
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.questions.messages import (
    Answer,
    OperatorPartAnswer,
    OperatorPartQuestion,
    OperatorQuestion,
    OperatorRecord,
)

VALUE: Final = msgspec.json.encode(
    [{"name": f"r-{number}", "kind": "x"} for number in range(16000)]
)
RECORD: Final = KeyedRecord(key="config", value=VALUE, offset=7)
LEFT_OUT: Final = OperatorRecord(key="config", value=b"", offset=7, size=len(VALUE))
PARTS: Final = -(-len(VALUE) // PART_BYTES)


@dataclass(kw_only=True)
class Sender:
    """A process that has the record, or another one, and falls silent after some answers."""

    record: KeyedRecord = RECORD
    answers: int = 1000
    asked: list[int] = field(default_factory=list)
    sent_bytes: int = 0
    server: PartServer = field(default_factory=PartServer)

    async def async_answer(self, question: OperatorPartQuestion) -> Answer | None:
        """Answer after a moment."""
        self.asked.append(question.start)
        await trio.sleep(0.001)
        if not self.answers:
            return None
        self.answers -= 1
        answer = self.server.answer(question, self.record)
        self.sent_bytes += len(answer.data)
        return answer


class Receiver:
    """A process that fetches the record from senders."""

    def __init__(self, **senders: Sender) -> None:
        self.senders = senders
        self.fetcher = PartFetcher(async_ask=self.async_ask)
        self.known: list[KeyedRecord] = []

    async def async_ask(
        self, address: str, question: OperatorQuestion | OperatorPartQuestion, timeout_s: float
    ) -> Answer | None:
        """Ask a sender."""
        assert isinstance(question, OperatorPartQuestion)
        return await self.senders[address].async_answer(question)

    async def async_fetch(self, address: str) -> None:
        """Fetch the record from one sender."""
        filled = await self.fetcher.async_fill(address, [LEFT_OUT], lambda _: bool(self.known))
        self.known += filled or []

    def fetch(self, *addresses: str) -> None:
        """Fetch it from several senders at once."""

        async def async_fetch_all() -> None:
            async with trio.open_nursery() as nursery:
                for address in addresses:
                    nursery.start_soon(self.async_fetch, address)

        trio.run(async_fetch_all)


def test_large_record_arrives_compressed() -> None:
    sender = Sender()
    receiver = Receiver(a=sender)
    receiver.fetch("a")
    assert receiver.known == [RECORD]
    assert len(sender.asked) == PARTS > 2
    assert sender.sent_bytes < len(VALUE) / 4


def test_record_is_fetched_once_though_several_processes_have_it() -> None:
    """Guards against asking a small link for the same bytes several times at once."""
    senders = {name: Sender() for name in "abc"}
    receiver = Receiver(**senders)
    receiver.fetch(*senders)
    assert receiver.known == [RECORD]
    assert sum(len(sender.asked) for sender in senders.values()) == PARTS


def test_another_process_sends_the_rest_of_a_record() -> None:
    """Guards against beginning anew after each process that falls silent."""
    senders = {"a": Sender(answers=2), "b": Sender()}
    receiver = Receiver(**senders)
    receiver.fetch("a")
    assert not receiver.known
    receiver.fetch("b")
    assert receiver.known == [RECORD]
    assert len(senders["b"].asked) == PARTS - 2


def test_parts_of_two_records_are_not_mixed() -> None:
    """Guards against a configuration made of two versions."""
    newer = KeyedRecord(key="config", value=VALUE[::-1], offset=8)
    senders = {"a": Sender(answers=1), "b": Sender(record=newer), "c": Sender()}
    receiver = Receiver(**senders)
    for address in senders:
        receiver.fetch(address)
    assert receiver.known == [RECORD]


def test_malformed_part_ends_the_transfer() -> None:
    """Guards against an exception, or endless questions, for what another process sends."""

    class BrokenServer(PartServer):
        def answer(
            self, question: OperatorPartQuestion, record: KeyedRecord | None
        ) -> OperatorPartAnswer:
            return OperatorPartAnswer(data=b"not compressed")

    receiver = Receiver(a=Sender(server=BrokenServer()))
    receiver.fetch("a")
    assert not receiver.known
