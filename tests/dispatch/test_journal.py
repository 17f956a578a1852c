"""Records of a partition's owner beside another writer, and answers that are lost."""

from __future__ import annotations

from functools import partial

import msgspec
import trio
from result import Err, Result

from heatherkeel.dispatch.const import MAX_APPEND_BYTES
from heatherkeel.dispatch.journal import Journal
from heatherkeel.platform.caller import Reply
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.framing import KeyedRecord, encode_records
from heatherkeel.platform.store import Producer, StoreClient
from heatherkeel.platform.store_answers import Appended, check, decode
from heatherkeel.standins.keyed_log import KeyedLog

TOKEN = 15
PARTITION = 2


class LogStore(StoreClient):
    """A store in memory; some of its answers are lost."""

    def __init__(self) -> None:
        self.log = KeyedLog()
        self.lose = 0

    async def async_append_as(
        self, producer: Producer, topic: str, partition: int, records: list[KeyedRecord]
    ) -> Result[Appended, CallError]:
        """Append to the log."""
        await trio.lowlevel.checkpoint()
        query = {
            "topic": topic,
            "part": str(partition),
            "producer": producer.name,
            "epoch": str(producer.epoch),
            "sequence": str(producer.sequence),
        }
        answer = self.log.append(query, encode_records(records))
        if self.lose and records:
            self.lose -= 1
            return Err(CallError(failure=Failure.UNKNOWN, detail="the answer is lost"))
        reply = Reply(status=answer.status, body=msgspec.json.encode(answer.body))
        return decode(check(reply), Appended)


class Owner:
    """An owner's journal, with what it was told."""

    def __init__(self, store: LogStore, *, token: int = TOKEN) -> None:
        self.fenced = 0
        self.stored: list[str] = []
        self.journal = Journal(
            store=store, partition=PARTITION, token=token, on_fenced=self._on_fenced
        )

    def _on_fenced(self) -> None:
        self.fenced += 1

    def put(self, key: str) -> None:
        """Store a record, and note its key once it is stored."""
        self.journal.put(key, key.encode)
        self.journal.when_stored(lambda: self.stored.append(key))


def run_owners(store: LogStore, *tokens: int, keys: int) -> list[Owner]:
    """Let owners open their journals in turn, and each store keys one by one before the next."""
    owners = [Owner(store, token=token) for token in tokens]

    async def async_test() -> None:
        with trio.fail_after(5):
            for owner in owners:
                assert await owner.journal.async_open()
            for number, owner in enumerate(owners):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(owner.journal.async_run)
                    for key in range(keys):
                        owner.put(f"p{number}.{key}")
                        with trio.move_on_after(0.6):
                            while len(owner.stored) <= key and not owner.fenced:
                                await trio.sleep(0.01)
                    nursery.cancel_scope.cancel()

    trio.run(async_test)
    return owners


class LimitedStore(LogStore):
    """A store that refuses appends above twice the size that owners send."""

    async def async_append_as(
        self, producer: Producer, topic: str, partition: int, records: list[KeyedRecord]
    ) -> Result[Appended, CallError]:
        """Append to the log, unless it is too much at once."""
        if len(encode_records(records)) > 2 * MAX_APPEND_BYTES:
            return Err(CallError(failure=Failure.INVALID, status=400))
        return await super().async_append_as(producer, topic, partition, records)


def newest(store: LogStore) -> set[str]:
    """Return the stored keys."""
    return set(store.log.newest("keyed.work", PARTITION))


def test_append_whose_answer_is_lost_is_stored_once() -> None:
    store = LogStore()
    store.lose = 2
    (owner,) = run_owners(store, TOKEN, keys=2)
    assert owner.stored == ["p0.0", "p0.1"]
    assert store.log.find("keyed.work", PARTITION).end() == 2
    assert not owner.fenced


def test_record_that_another_writer_displaced_does_not_count_as_stored() -> None:
    """Guards against acknowledging ends whose records the log took for repeats of another's."""
    for keys in (1, 2, 7):
        store = LogStore()
        first, second = run_owners(store, TOKEN, TOKEN, keys=keys)
        assert len(first.stored) == keys
        assert set(second.stored) <= newest(store)
        assert not second.stored
        assert second.fenced


def test_owner_stores_nothing_after_its_successor_has_opened_the_journal() -> None:
    first, second = run_owners(LogStore(), TOKEN, TOKEN + 1, keys=1)
    assert (first.stored, first.fenced) == ([], 1)
    assert (second.stored, second.fenced) == (["p1.0"], 0)


def test_first_records_of_a_successor_are_not_taken_for_repeats() -> None:
    """Guards against numbers that an earlier owner has used."""
    store = LogStore()
    run_owners(store, TOKEN, keys=2)
    (second,) = run_owners(store, TOKEN + 1, keys=2)
    assert second.stored == ["p0.0", "p0.1"]
    assert store.log.find("keyed.work", PARTITION).end() == 4


def test_large_records_that_have_gathered_are_stored_in_several_appends() -> None:
    """Guards against a partition that starts nothing any more after an outage of the store."""
    owner = Owner(LimitedStore())

    async def async_test() -> None:
        with trio.fail_after(5):
            assert await owner.journal.async_open()
            for number in range(28):
                owner.journal.put(f"p{number}", lambda: b"x" * (MAX_APPEND_BYTES // 8))
            owner.put("last")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(owner.journal.async_run)
                while not owner.stored:
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()

    trio.run(async_test)
    assert owner.stored == ["last"]


def run_journal(store: LogStore, *groups: list[KeyedRecord], request_bytes: int = 4096) -> Owner:
    """Let an owner store groups of records together, until all callbacks were called."""
    owner = Owner(store)
    refused: list[str] = []
    owner.journal.on_refused = refused.append
    owner.journal.request_bytes = request_bytes

    async def async_test() -> None:
        with trio.move_on_after(5):
            assert await owner.journal.async_open()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(owner.journal.async_run)
                for group in groups:
                    owner.journal.put_group(group[0].key, partial(list, group))
                owner.journal.when_stored(nursery.cancel_scope.cancel)
                await trio.sleep_forever()

    trio.run(async_test)
    owner.stored = refused
    return owner


def make_group(name: str, *sizes: int) -> list[KeyedRecord]:
    """Return records of these sizes."""
    return [
        KeyedRecord(key=f"p{name}.{number}", value=b"x" * size) for number, size in enumerate(sizes)
    ]


def test_record_that_is_never_taken_is_left_out_and_the_others_are_stored() -> None:
    """Guards against an append that is repeated for ever, with all that is behind it."""
    store = LogStore()
    store.log.record_bytes = 500
    first, bad, last = make_group("1", 20), make_group("2", 600), make_group("3", 20)
    owner = run_journal(store, first, bad, last)
    assert owner.stored == ["p2.0"]
    assert list(store.log.newest("keyed.work", PARTITION)) == ["p1.0", "p3.0"]
    assert len(store.log.find("keyed.work", PARTITION).records) == 2


def test_group_is_stored_whole_unless_it_is_larger_than_an_append() -> None:
    """Guards against a job of which half of a change is stored, and against refused appends."""
    store = LogStore()
    store.log.request_bytes = 1000
    groups = [make_group("1", 300, 300), make_group("2", 300, 300), make_group("3", *[300] * 9)]
    owner = run_journal(store, *groups, request_bytes=1000)
    assert owner.stored == []
    assert len(store.log.newest("keyed.work", PARTITION)) == 13


def test_store_that_refuses_every_append_costs_no_job() -> None:
    """Guards against all jobs failed by a store that answers each append with an error."""

    class RefusingStore(LogStore):
        is_open = False

        async def async_append_as(
            self, producer: Producer, topic: str, partition: int, records: list[KeyedRecord]
        ) -> Result[Appended, CallError]:
            if self.is_open:
                await trio.lowlevel.checkpoint()
                return Err(CallError(failure=Failure.INVALID, status=404))
            self.is_open = True
            return await super().async_append_as(producer, topic, partition, records)

    owner = run_journal(RefusingStore(), make_group("1", 20))
    assert owner.stored == []
    assert not owner.journal.connected
