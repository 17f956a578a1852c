"""Exchanges the operator's records with other processes."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence

import trio

from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.questions.messages import (
    OperatorAnswer,
    OperatorPartAnswer,
    OperatorPartQuestion,
    OperatorQuestion,
    OperatorRecord,
)

from .const import (
    ANSWER_TIMEOUT_S,
    ASK_PEERS_FRACTION,
    FRUITLESS_ROUNDS,
    GREETING_INTERVAL_S,
    MAX_DOUBLINGS,
    MAX_NAMED_PEERS,
    MAX_ROUND_PAUSE_S,
    PART_BYTES,
    PEERS_PER_ROUND,
    ROUND_PAUSE_S,
)
from .coverage import Reading
from .directory import Directory
from .metrics import PeerAnswer
from .parts import AsyncAsk, PartFetcher, PartServer
from .peers import PeerList

_LOGGER = logging.getLogger(__name__)


class PeerSync:
    """Asks other processes for newer records while its own reads of the store are too old.

    The store may refuse most processes, and calls that it refuses may depend on peers that it
    refuses too. Any process answers with what it knows, and how old that is; so one process that
    reaches the store is enough for all that reach it, directly or through others.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        peers: PeerList,
        find_own: Callable[[], str],
        reaches_store: Callable[[], bool],
        async_ask: AsyncAsk,
        on_question: Callable[[PeerAnswer], None] = lambda answer: None,
        link_mbps: float = 0.0,
    ) -> None:
        self.directory = directory
        self.peers = peers
        self.find_own = find_own
        self.reaches_store = reaches_store
        self.async_ask = async_ask
        self.on_question = on_question
        """Called with how each question was answered."""
        self.link_mbps = link_mbps
        """Bandwidth of the own link, in Mbit/s; 0 if it isn't known."""
        self.parts = PartServer()
        self.fetcher = PartFetcher(async_ask=async_ask)
        self.check_ended = trio.Event()
        """Set while no read of the store is in progress beside the one that waits."""
        self.check_ended.set()
        self.fruitless_rounds = 0
        """Consecutive rounds after which the records were still too old."""
        self.round_ended = trio.Event()
        self.is_behind = False

    async def async_run(self) -> None:
        """Keep the operator's records recent until cancelled."""
        async with trio.open_nursery() as nursery:
            await self._async_run(nursery)

    async def _async_run(self, nursery: trio.Nursery) -> None:
        greeting_s = trio.current_time()
        while True:
            if self._should_ask():
                await self._async_refresh(nursery)
                # Capped before the power, which overflows after minutes without the store.
                doublings = min(self.fruitless_rounds, MAX_DOUBLINGS)
                pause_s = min(MAX_ROUND_PAUSE_S, ROUND_PAUSE_S * 2.0**doublings)
            elif trio.current_time() >= greeting_s:
                greeting_s = trio.current_time() + GREETING_INTERVAL_S
                await self.peers.async_find_owners()
                await self._async_ask_all(self.peers.list_random(1))
                continue
            else:
                # A read of the store may have made them recent, and the next trouble is another.
                self.fruitless_rounds = 0
                self._record_recent()
                pause_s = max(ROUND_PAUSE_S, min(self._due_s(), greeting_s - trio.current_time()))
            with trio.move_on_after(pause_s):
                await self.directory.superseded.wait()
            self.directory.superseded = trio.Event()

    async def async_wait_recent(self, timeout_s: float) -> None:
        """Wait until the records are recent; return at once if other processes can't help.

        After a freeze they are outdated, and the first round makes them recent again.
        """
        with trio.move_on_after(timeout_s):
            while not self._is_recent() and self.fruitless_rounds < FRUITLESS_ROUNDS:
                self.directory.superseded.set()
                await self.round_ended.wait()

    def answer(self, question: OperatorQuestion) -> OperatorAnswer:
        """Answer another process with all records that it lacks."""
        self.peers.record_answer(question.sender, reaches_store=question.reaches_store)
        self.directory.record_hinted_version(question.version)
        known = self.directory.state.operator_records
        records = [
            _make_record(record, in_parts=question.takes_parts)
            for record in known.list_from(question.end)
        ]
        return OperatorAnswer(
            records=records,
            end=known.end,
            age_ms=known.age_ms(),
            reaches_store=self.reaches_store(),
            peers=self.peers.list_alive(MAX_NAMED_PEERS),
            zone=self.peers.zone,
            link_mbps=self.link_mbps,
        )

    def answer_part(self, question: OperatorPartQuestion) -> OperatorPartAnswer:
        """Answer another process with a part of a large record."""
        newest = self.directory.state.operator_records.newest
        return self.parts.answer(question, newest.get(question.key))

    def _is_recent(self) -> bool:
        return self.directory.state.is_config_recent()

    def _should_ask(self) -> bool:
        """Return whether others are asked: for newer records, or for those that arrive slowly.

        A record that they are sending counts as well: the store doesn't send it meanwhile.
        """
        return (
            self._needs_newer()
            or self.directory.reads.is_arriving_slowly()
            or self.fetcher.is_fetching()
        )

    def _needs_newer(self) -> bool:
        state = self.directory.state
        return state.is_hint_open() or not state.is_config_recent(fraction=ASK_PEERS_FRACTION)

    def _due_s(self) -> float:
        """Return the seconds until the records will be too old, unless they are read again."""
        state = self.directory.state
        return (state.apply_ms * ASK_PEERS_FRACTION - (state.config_age_ms() or 0)) / 1000

    async def _async_refresh(self, nursery: trio.Nursery) -> None:
        """Read the store and ask several processes at once, until the records are recent."""
        addresses = self.peers.list_addresses()[:PEERS_PER_ROUND]
        if self._needs_newer() and self.check_ended.is_set():
            self.check_ended = trio.Event()
            nursery.start_soon(self._async_check_store)
        async with trio.open_nursery() as round_nursery:
            round_nursery.start_soon(self._async_await_check, round_nursery.cancel_scope)
            await self._async_ask_all(addresses)
            if not self._should_ask():
                round_nursery.cancel_scope.cancel()
        self.fruitless_rounds = self.fruitless_rounds + 1 if self._needs_newer() else 0
        self.round_ended.set()
        self.round_ended = trio.Event()
        if self.fruitless_rounds == FRUITLESS_ROUNDS and not self._is_recent():
            self._record_behind(addresses)

    async def _async_check_store(self) -> None:
        """Read the store; a large answer may outlast several rounds of questions."""
        try:
            await self.directory.reads.async_check()
        finally:
            self.check_ended.set()

    async def _async_await_check(self, scope: trio.CancelScope) -> None:
        """Wait for the read of the store unless a large answer arrives, then end the round."""
        while not (self.check_ended.is_set() or self.directory.reads.is_large_arriving()):
            with trio.move_on_after(ANSWER_TIMEOUT_S):
                await self.check_ended.wait()
        if not self._should_ask():
            scope.cancel()

    async def _async_ask_all(self, addresses: Sequence[str]) -> None:
        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(self._async_ask_one, address, nursery.cancel_scope)

    async def _async_ask_one(self, address: str, scope: trio.CancelScope) -> None:
        state = self.directory.state
        question = OperatorQuestion(
            sender=self.find_own(),
            reaches_store=self.reaches_store(),
            version=state.config_version(),
            end=state.operator_records.end,
            takes_parts=True,
        )
        asked_ms = monotonic_ms()
        answer = await self.async_ask(address, question, ANSWER_TIMEOUT_S)
        if not isinstance(answer, OperatorAnswer):
            self.peers.record_silence(address)
            self.on_question(PeerAnswer.SILENT)
            return
        self.peers.record_answer(address, reaches_store=answer.reaches_store)
        self.peers.record_place(address, zone=answer.zone, link_mbps=answer.link_mbps)
        self.peers.record_named(answer.peers)
        has_records = bool(answer.records)
        self.on_question(PeerAnswer.RECORDS if has_records else PeerAnswer.NOTHING_NEW)
        if has_records:
            self._log_records(address, question, answer, asked_ms)
        if answer.age_ms is None:
            return
        records = await self._async_fill(address, answer.records)
        if records is None:
            return
        self.directory.apply_peer_records(
            records,
            # The answer's age grew while it was on its way, by less than the question took.
            Reading(known_end=answer.end, log_end=answer.end, seen_ms=asked_ms - answer.age_ms),
        )
        if not self._should_ask():
            scope.cancel()

    def _log_records(
        self, address: str, question: OperatorQuestion, answer: OperatorAnswer, asked_ms: int
    ) -> None:
        _LOGGER.info(
            "another process answered with records of the operator",
            extra={
                "event": "operator_records",
                "source": "peer",
                "address": address,
                "offset": question.end,
                "records": len(answer.records),
                "end": answer.end,
                "bytes": sum(len(record.value) for record in answer.records),
                "left_out_bytes": sum(record.size for record in answer.records),
                "took_ms": monotonic_ms() - asked_ms,
                "age_ms": answer.age_ms,
                "config_age_ms": self.directory.state.config_age_ms(),
            },
        )

    async def _async_fill(
        self, address: str, records: Sequence[OperatorRecord]
    ) -> list[KeyedRecord] | None:
        """Fetch the large values; the store doesn't send the same ones over the link meanwhile."""
        size = max((record.size for record in records), default=0)
        is_early = size and self.directory.reads.is_early_in(size)
        if is_early:
            self.directory.reads.suspend()
        try:
            return await self.fetcher.async_fill(address, records, self._is_known)
        finally:
            if is_early:
                self.directory.reads.resume()

    def _is_known(self, record: OperatorRecord) -> bool:
        known = self.directory.state.operator_records.newest.get(record.key)
        return known is not None and known.offset >= record.offset

    def _record_behind(self, addresses: Sequence[str]) -> None:
        if self.is_behind:
            return
        self.is_behind = True
        state = self.directory.state
        _LOGGER.warning(
            "the configuration may be outdated, and no other process knows a newer one",
            extra={
                "event": "config_outdated",
                "version": state.config_version(),
                "config_age_ms": state.config_age_ms(),
                "named_version": state.named_version,
                "asked": list(addresses),
            },
        )

    def _record_recent(self) -> None:
        if not self.is_behind:
            return
        self.is_behind = False
        state = self.directory.state
        _LOGGER.info(
            "the configuration is known to be recent again",
            extra={
                "event": "config_recent",
                "version": state.config_version(),
                "config_age_ms": state.config_age_ms(),
            },
        )


def _make_record(record: KeyedRecord, *, in_parts: bool) -> OperatorRecord:
    """Return a record for an answer; a large value is left out if it can be asked for in parts."""
    is_left_out = in_parts and len(record.value) > PART_BYTES
    return OperatorRecord(
        key=record.key,
        value=b"" if is_left_out else record.value,
        offset=record.offset,
        size=len(record.value) if is_left_out else 0,
    )
