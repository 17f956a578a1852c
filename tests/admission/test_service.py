"""An owner makes sure that a job isn't stored before it refuses the job."""

from __future__ import annotations

import msgspec
import trio
from prometheus_client import CollectorRegistry
from result import Err, Ok, Result

from heatherkeel.admission.const import REMEMBERED_MS
from heatherkeel.admission.metrics import AdmissionMetrics
from heatherkeel.admission.models import Doubt, PoolBacklog, RefusalReason
from heatherkeel.admission.service import AdmissionService, OwnerView
from heatherkeel.dispatch.records import StoredRequest, make_caller_key
from heatherkeel.helpers.clock import monotonic_ms, wall_ms
from heatherkeel.platform.callers import JobRequest
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import StoreClient
from heatherkeel.platform.store_answers import ReadRecords
from heatherkeel.platform.transfer import Transfer
from heatherkeel.questions.messages import AdmissionAnswer
from tests.dispatch.partition import Partition

from .test_desk import QUESTION

READ_S = 0.01


class ReadStore(StoreClient):
    """A store with some jobs that the owner hasn't read yet, or one that doesn't answer."""

    def __init__(self, *job_ids: str, is_silent: bool = False) -> None:
        self.job_ids = job_ids
        self.is_silent = is_silent
        self.read_count = 0
        self.deleted: list[str] = []

    async def async_read_at_once(
        self,
        topic: str,
        partition: int,
        *,
        start: int,
        max_kb: int | None = None,
        transfer: Transfer | None = None,
    ) -> Result[ReadRecords, CallError]:
        """Return the jobs."""
        self.read_count += 1
        await trio.sleep(READ_S)
        if self.is_silent:
            return Err(CallError(failure=Failure.UNKNOWN))
        records = [
            KeyedRecord(key=make_caller_key("j", job_id, "desk"), value=b"1")
            for job_id in self.job_ids
        ]
        return Ok(ReadRecords(start=start, end=start + len(records), records=records))


def make_service(store: ReadStore) -> AdmissionService:
    """Return the service of an owner whose pool has far too much to do."""
    service = AdmissionService(
        state=Partition().state,
        store=store,
        partition=0,
        view=OwnerView(
            is_current=lambda: True, next_offset=lambda: 5, count_partitions=lambda queue: 1
        ),
        metrics=AdmissionMetrics(registry=CollectorRegistry()),
        delete=lambda job_id, workspace: store.deleted.append(job_id),
    )
    service.desk.opened_ms = monotonic_ms() - 60_000
    service.desk.meter.measured["portal"] = PoolBacklog(
        measured_ms=monotonic_ms() + 60_000, cores=10.0, running=1_000_000.0, lasted_ms=10_000
    )
    return service


def ask(store: ReadStore, *, count: int = 1) -> list[AdmissionAnswer]:
    """Ask about some jobs at once."""
    service = make_service(store)
    answers: list[AdmissionAnswer] = []

    async def async_ask(number: int) -> None:
        job_id = QUESTION.job_id if not number else f"{number:016x}"
        question = msgspec.structs.replace(QUESTION, job_id=job_id, sent_wall_ms=wall_ms())
        answers.append(await service.async_answer(question))

    async def async_ask_all() -> None:
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(async_ask, number)

    trio.run(async_ask_all)
    return answers


def test_refusal_says_what_was_expected() -> None:
    (answer,) = ask(ReadStore())
    assert answer.refusal == RefusalReason.NO_ROOM.value
    assert answer.retry_s >= 1 and answer.ends_ms > answer.worthless_ms > 0


def test_job_that_is_stored_but_not_read_yet_is_not_refused() -> None:
    """Guards against a refusal of a job that another entry instance has just accepted."""
    (answer,) = ask(ReadStore(QUESTION.job_id))
    assert not answer.refusal and answer.doubt == Doubt.KNOWN.value


def test_silent_store_refuses_nothing() -> None:
    (answer,) = ask(ReadStore(is_silent=True))
    assert not answer.refusal and answer.doubt == Doubt.STORE_SILENT.value


def test_refusals_at_once_share_a_read() -> None:
    """Guards against one read of the store for each refusal in a surge."""
    store = ReadStore()
    answers = ask(store, count=50)
    assert all(answer.refusal for answer in answers) and store.read_count <= 2


def make_early_record() -> StoredRequest:
    """Return the record of a submission from before the refusal."""
    return StoredRequest(
        queue="quotes",
        service="portal",
        accepted_wall_ms=wall_ms() - 1000,
        attempt="a0",
        request=JobRequest(),
    )


def refuse(service: AdmissionService) -> None:
    """Let a job be refused."""
    question = msgspec.structs.replace(QUESTION, sent_wall_ms=wall_ms())
    assert trio.run(service.async_answer, question).refusal


def test_late_record_of_a_refused_job_never_runs_and_is_deleted() -> None:
    store = ReadStore()
    service = make_service(store)
    refuse(service)
    assert service.is_dropped(QUESTION.job_id, make_early_record())
    now_ms = monotonic_ms()
    service.follow_refusals(now_ms=now_ms, since_ms=now_ms)
    assert store.deleted == []
    service.follow_refusals(now_ms=now_ms + REMEMBERED_MS + 1000, since_ms=now_ms)
    assert store.deleted == [QUESTION.job_id]


def test_job_that_returns_runs_and_its_record_is_not_deleted() -> None:
    """Guards against a late record's deletion that also deletes the accepted job's record."""
    store = ReadStore()
    service = make_service(store)
    refuse(service)
    early = make_early_record()
    assert service.is_dropped(QUESTION.job_id, early)
    returned = msgspec.structs.replace(early, accepted_wall_ms=wall_ms() + 2000, attempt="a2")
    assert not service.is_dropped(QUESTION.job_id, returned)
    assert not service.is_dropped(QUESTION.job_id, early)
    now_ms = monotonic_ms()
    service.follow_refusals(now_ms=now_ms + REMEMBERED_MS + 1000, since_ms=now_ms)
    assert store.deleted == []


def test_question_whether_a_job_is_known_decides_nothing() -> None:
    service = make_service(ReadStore())
    question = msgspec.structs.replace(QUESTION, sent_wall_ms=wall_ms(), only_known=True)
    assert trio.run(service.async_answer, question) == AdmissionAnswer()
    service.desk.admit(QUESTION.job_id, now_ms=monotonic_ms())
    assert trio.run(service.async_answer, question).doubt == Doubt.KNOWN.value


def test_cancelled_read_does_not_vouch_for_the_one_before_it() -> None:
    """Guards against "never runs" for a job that was stored after an earlier read."""

    async def async_test() -> None:
        store = ReadStore()
        service = make_service(store)
        assert await service.shared_read.async_read(5) == frozenset()
        store.job_ids = (QUESTION.job_id,)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(service.shared_read.async_read, 5)
            nursery.start_soon(async_ask_later, service)
            await trio.sleep(READ_S / 2)
            nursery.cancel_scope.cancel()
        assert await service.shared_read.async_read(5) == frozenset({QUESTION.job_id})

    async def async_ask_later(service: AdmissionService) -> None:
        await trio.sleep(READ_S / 4)
        with trio.CancelScope(shield=True):
            assert await service.shared_read.async_read(5) == frozenset({QUESTION.job_id})

    trio.run(async_test)


def test_new_owner_does_not_say_that_a_job_is_unknown() -> None:
    """Guards against "never runs" for a job that the predecessor has admitted."""

    async def async_test() -> None:
        service = make_service(ReadStore())
        question = msgspec.structs.replace(QUESTION, only_known=True)
        assert not (await service.async_answer(question)).doubt
        service.open()
        assert (await service.async_answer(question)).doubt == Doubt.NEW_OWNER.value

    trio.run(async_test)
