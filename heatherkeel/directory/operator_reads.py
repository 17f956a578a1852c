"""Reads the operator's records from the store, the large ones over one transfer at a time."""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio
from result import Err

from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.platform.const import CONFIG_TOPIC
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import StoreClient
from heatherkeel.platform.store_answers import ReadRecords
from heatherkeel.platform.transfer import Transfer, begin_transfer

from .const import LONG_TRANSFER_S, READ_MAX_KB
from .coverage import Reading
from .follower import TopicFollower
from .records import OperatorRecords

_LOGGER = logging.getLogger(__name__)


class OperatorReads:
    """A read that waits for new records, and one at once while its answer may have been lost.

    `on_records` is called with records from the store, `on_slow` while an answer arrives slowly,
    and `on_answer` with each answer that holds records.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        known: OperatorRecords,
        wait_ms: int,
        on_records: Callable[[list[KeyedRecord]], None],
        on_slow: Callable[[], None],
    ) -> None:
        self.store = store
        self.known = known
        self.on_records = on_records
        self.on_slow = on_slow
        self.on_answer: Callable[[ReadRecords], None] = lambda answer: None
        self.transfer: Transfer | None = None
        """The answer that is arriving, until its records are in force."""
        self.checking = trio.CancelScope()
        """Ends the read at once."""
        self.check_suspends = False
        """That read has suspended the one that waits."""
        self.follower = TopicFollower(
            store=store,
            topic=CONFIG_TOPIC,
            partition=0,
            on_records=on_records,
            # The operator deletes neither waves nor the configuration.
            on_keys=lambda keys: None,
            on_answer=self._record_answer,
            on_bytes=self.watch_follower,
            on_end=self.forget_transfer,
            coverage=known,
            max_kb=READ_MAX_KB,
            wait_ms=wait_ms,
        )

    async def async_check(self) -> None:
        """Read at once, beside the read that waits and may have been lost.

        Only one of them may bring a large record: two would share the link, and take twice as long.
        """
        if self.known.as_of_ms is None or self.is_large_arriving():
            return
        sent_ms, start = monotonic_ms(), self.known.end
        transfer = begin_transfer()
        transfer.listeners.append(lambda: self._watch_check(transfer))
        try:
            with trio.CancelScope() as self.checking:
                read = await self.store.async_read_at_once(
                    CONFIG_TOPIC, 0, start=start, max_kb=READ_MAX_KB, transfer=transfer
                )
        finally:
            if self.transfer is transfer:
                self.forget_transfer()
            if self.check_suspends:
                self.check_suspends = False
                self.follower.resume()
        if self.checking.cancelled_caught or isinstance(read, Err):
            return
        answer = read.ok_value
        if answer.records:
            self._record_answer(answer, sent_ms)
            self.on_records(answer.records)
        self.known.apply(
            Reading(known_end=answer.next_offset(), log_end=answer.end, seen_ms=sent_ms)
        )
        if answer.records:
            self.follower.skip_to(self.known.end)

    def skip_known(self) -> None:
        """Continue behind the records that are known from other processes."""
        self.follower.skip_to(self.known.end)
        self.checking.cancel()

    def is_large_arriving(self) -> bool:
        """Return whether a large answer is arriving, or isn't in force yet."""
        transfer = self.transfer
        return (
            transfer is not None
            and _is_large(transfer)
            and (transfer.is_arriving() or transfer.is_complete)
        )

    def is_arriving_slowly(self) -> bool:
        """Return whether an answer has been arriving for long."""
        transfer = self.transfer
        return (
            transfer is not None
            and transfer.is_arriving()
            and transfer.arrival_s() >= LONG_TRANSFER_S
        )

    def is_early_in(self, size: int) -> bool:
        """Return whether less than half of a record of this size has arrived."""
        return self.transfer is None or 2 * self.transfer.received_bytes < size

    def suspend(self) -> None:
        """End both reads; none that waits begins before `resume`."""
        self.checking.cancel()
        self.follower.suspend()

    def resume(self) -> None:
        """Continue after `suspend`."""
        self.follower.resume()

    def watch_follower(self, transfer: Transfer) -> None:
        """Record that bytes of the answer to the read that waits have arrived."""
        self._watch(transfer)
        if _is_large(transfer):
            self.checking.cancel()

    def forget_transfer(self) -> None:
        """Record that an answer is in force, or was given up."""
        self.transfer = None

    def _watch_check(self, transfer: Transfer) -> None:
        self._watch(transfer)
        if _is_large(transfer) and not self.check_suspends:
            self.check_suspends = True
            self.follower.suspend()

    def _watch(self, transfer: Transfer) -> None:
        self.transfer = transfer
        if self.is_arriving_slowly():
            self.on_slow()

    def _record_answer(self, answer: ReadRecords, sent_ms: int) -> None:
        self.on_answer(answer)
        _LOGGER.info(
            "the store answered with records of the operator",
            extra={
                "event": "operator_records",
                "source": "store",
                "offset": answer.start,
                "records": len(answer.records),
                "missing": answer.count_missing(),
                "bytes": answer.size,
                "took_ms": monotonic_ms() - sent_ms,
                "config_age_ms": self.known.age_ms(),
            },
        )


def _is_large(transfer: Transfer) -> bool:
    """Return whether a transfer has brought more than a small record."""
    return transfer.received_bytes > READ_MAX_KB * 1024
