"""Writes a partition's records as its only writer, and calls back once they are stored."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Final

import trio
from result import Ok

from heatherkeel.ownership.const import PRODUCER, WORK_TOPIC
from heatherkeel.platform.errors import Failure
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import Producer, StoreClient
from heatherkeel.platform.store_answers import Appended

from .batches import measure_record, split_batches
from .const import MAX_APPEND_BYTES
from .items import ItemFailedError, blame_job
from .records import parse_caller_key

_LOGGER = logging.getLogger(__name__)

RETRY_PAUSE_S = 0.25
"""Pause after an append that failed or wasn't answered, in seconds."""

FIRST_SEQUENCES: Final = 1 << 31
"""Number of sequence numbers of which an owner's first one is drawn."""


@dataclass(kw_only=True, slots=True)
class Batch:
    """Records to be stored together, by their groups' keys, and the callbacks to call after that.

    They are encoded only when their batch is sent, since a job may change several times before.
    """

    groups: dict[str, Callable[[], list[KeyedRecord]]] = field(default_factory=dict)
    callbacks: list[Callable[[], None]] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True, slots=True)
class Group:
    """The records of one job, or one other record."""

    key: str
    records: list[KeyedRecord]

    def size(self) -> int:
        """Return their size in an append, in bytes."""
        return sum(measure_record(record) for record in self.records)


def ignore_refused(key: str) -> None:
    """Do nothing about a group that the store doesn't take; it is logged."""


def _make_group(key: str, make: Callable[[], list[KeyedRecord]]) -> Group:
    """Encode records; an exception counts against the job whose key they have."""
    with blame_job(parse_caller_key(key)[0]):
        return Group(key=key, records=make())


class Outcome(Enum):
    """What became of an append."""

    STORED = auto()
    REFUSED = auto()
    """The store will never take these records."""
    LOST = auto()
    """The partition has another owner."""


class Journal:
    """Group commit: while one append is in flight, the next batch is collected.

    An append without an answer is retried with the same sequence number, which the log accepts
    only once. An earlier owner's late records are refused because of its lower epoch, so they
    can't overwrite those of its successor.

    The log answers a sequence number that it knows as a repeat, whatever the records are. So the
    first one is random, and an append counts as stored only if its records directly follow this
    owner's earlier ones.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        partition: int,
        token: int,
        on_fenced: Callable[[], None],
        on_item_failed: Callable[[ItemFailedError], None] | None = None,
        on_refused: Callable[[str], None] = ignore_refused,
        request_bytes: int = MAX_APPEND_BYTES,
    ) -> None:
        self.on_refused = on_refused
        """Called with the key of each group that the store will never take."""
        self.request_bytes = request_bytes
        """Most bytes of all records of one append."""
        self.store = store
        self.partition = partition
        self.token = token
        self.on_fenced = on_fenced
        self.on_item_failed = on_item_failed
        self.sequence = random.randrange(FIRST_SEQUENCES)
        self.end = 0
        """Offset behind the last record, which the next one gets."""
        self.batch = Batch()
        self.batch_ready = trio.Event()
        self.connected = True

    async def async_open(self) -> bool:
        """Fence all earlier owners; False if there is a later one."""
        return await self._async_append([]) is Outcome.STORED

    def put(self, key: str, encode: Callable[[], bytes]) -> None:
        """Store a record with the next append."""
        self.put_group(key, lambda: [KeyedRecord(key=key, value=encode())])

    def put_group(self, key: str, make: Callable[[], list[KeyedRecord]]) -> None:
        """Store the records of one job with the next append, all of them or none.

        Only a group that is larger than an append is stored in several, in its order.
        """
        self.batch.groups[key] = make
        self.batch_ready.set()

    def when_stored(self, callback: Callable[[], None]) -> None:
        """Call a function once all records put so far are stored."""
        self.batch.callbacks.append(callback)
        self.batch_ready.set()

    def clear(self) -> None:
        """Drop what isn't being stored yet, with its callbacks."""
        self.batch = Batch()

    async def async_run(self) -> None:
        """Write batches until cancelled or fenced."""
        while True:
            await self.batch_ready.wait()
            self.batch_ready = trio.Event()
            batch, self.batch = self.batch, Batch()
            try:
                groups = [_make_group(key, make) for key, make in batch.groups.items()]
            except ItemFailedError as err:
                if self.on_item_failed is None:
                    raise
                self.on_item_failed(err)
                continue
            for part in self._split(groups):
                if not await self._async_append_groups(part):
                    return
            for callback in batch.callbacks:
                callback()

    def _split(self, groups: list[Group]) -> Iterator[list[Group]]:
        return split_batches(
            groups,
            size_of=Group.size,
            count_of=lambda group: len(group.records),
            max_bytes=self.request_bytes,
        )

    async def _async_append_groups(self, groups: list[Group]) -> bool:
        """Append groups exactly once; returns False if the partition is lost.

        A group that the store will never take is left out, so that what is behind it is stored.
        """
        records = [record for group in groups for record in group.records]
        for part in split_batches(records, size_of=measure_record, max_bytes=self.request_bytes):
            match await self._async_append(part):
                case Outcome.LOST:
                    return False
                case Outcome.REFUSED if len(groups) > 1:
                    return await self._async_append_apart(groups)
                case Outcome.REFUSED:
                    self._leave_out(groups[0])
                    return True
        return True

    async def _async_append_apart(self, groups: list[Group]) -> bool:
        """Append each of several groups by itself, as one of them isn't taken."""
        for group in groups:
            if not await self._async_append_groups([group]):
                return False
        return True

    def _leave_out(self, group: Group) -> None:
        _LOGGER.error(
            "the store takes these records never; they are left out",
            extra={
                "event": "records_refused",
                "partition": self.partition,
                "key": group.key,
                "records": len(group.records),
                "bytes": group.size(),
            },
        )
        self.on_refused(group.key)

    async def _async_append(self, records: list[KeyedRecord]) -> Outcome:
        """Append exactly once, with retries.

        It is LOST if another instance owns the partition, or another writer uses this token.
        """
        while True:
            producer = Producer(name=PRODUCER, epoch=self.token, sequence=self.sequence)
            appended = await self.store.async_append_as(
                producer, WORK_TOPIC, self.partition, records
            )
            if isinstance(appended, Ok):
                is_stored = self._record_stored(appended.ok_value, is_opening=not records)
                return Outcome.STORED if is_stored else Outcome.LOST
            error = appended.err_value
            if error.failure is Failure.FENCED:
                _LOGGER.warning(
                    "partition has another owner",
                    extra={"event": "fenced", "partition": self.partition, "token": self.token},
                )
                self.on_fenced()
                return Outcome.LOST
            if error.failure is Failure.OUT_OF_ORDER:
                self._give_up(detail=f"sequence number {error.number} is expected")
                return Outcome.LOST
            if error.failure is Failure.INVALID and records and await self._async_is_taking():
                return Outcome.REFUSED
            self._update_connected(False, error.detail)
            await trio.sleep(RETRY_PAUSE_S)

    async def _async_is_taking(self) -> bool:
        """Return whether the store takes an append without records, so that these are at fault.

        A store that answers each append with an error would otherwise fail all jobs.
        """
        producer = Producer(name=PRODUCER, epoch=self.token, sequence=self.sequence)
        appended = await self.store.async_append_as(producer, WORK_TOPIC, self.partition, [])
        return isinstance(appended, Ok)

    def _record_stored(self, appended: Appended, *, is_opening: bool) -> bool:
        """Record the answer to an append; returns whether it is the answer to this append."""
        if not is_opening and appended.offset != self.end:
            self._give_up(detail=f"offset {appended.offset} instead of {self.end}")
            return False
        self.sequence += 1
        self.end = appended.end
        self._update_connected(True, "")
        return True

    def _give_up(self, *, detail: str) -> None:
        """Give up the partition, since another writer uses this owner's epoch.

        What was answered may not be stored, so nothing may rely on it. The next owner, which may
        be this process under a new token, reads the records again.
        """
        _LOGGER.error(
            "another writer appends under this owner's token",
            extra={
                "event": "records_displaced",
                "partition": self.partition,
                "token": self.token,
                "sequence": self.sequence,
                "detail": detail,
            },
        )
        self.on_fenced()

    def _update_connected(self, connected: bool, detail: str) -> None:
        if connected == self.connected:
            return
        self.connected = connected
        _LOGGER.log(
            logging.INFO if connected else logging.WARNING,
            "records can%s be stored",
            "" if connected else "'t",
            extra={
                "event": "journal_regained" if connected else "journal_lost",
                "partition": self.partition,
                "detail": detail,
            },
        )
