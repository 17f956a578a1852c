"""Numbers that others write are computed with, or rejected at the border."""

from __future__ import annotations

from typing import Any

import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from msgspec import inspect
from result import Err, Ok

from heatherkeel.dispatch.events import (
    AdviceReceived,
    FindShares,
    QueuesChanged,
    SharesFound,
    Tick,
    WorkerAnswered,
    WorkersListed,
)
from heatherkeel.dispatch.load import measure_pools
from heatherkeel.dispatch.records import decode_progress, encode_progress
from heatherkeel.dispatch.shares import choose_share
from heatherkeel.dispatch.terms import make_terms
from heatherkeel.platform import advice, machines, operator, store_answers, workers
from heatherkeel.platform.caller import Reply
from heatherkeel.platform.callers import JobRequest, StepRequest, decode_job
from heatherkeel.platform.settings import InstanceSettings
from heatherkeel.questions.messages import (
    PoolsAnswer,
    Question,
    decode_answer,
    encode_message,
)

from ..dispatch.partition import JOB, Partition, make_entry, make_step
from .entries import ENTRY
from .extremes import documents, find_unbounded

BORDER_MODELS: tuple[Any, ...] = (
    JobRequest,
    operator.Configuration,
    operator.Wave,
    operator.WorkerEntry,
    workers._Answer,
    machines._Page,
    machines.Machine,
    advice.Advice,
    store_answers._Answer,
    store_answers.Appended,
    store_answers._Item,
    store_answers.NewestPage,
    store_answers.Joined,
    InstanceSettings,
    Question,
)
SLOW = settings(
    max_examples=150, deadline=None, suppress_health_check=list(HealthCheck), derandomize=True
)


def encode(document: Any) -> bytes:
    """Encode a document, also with integers that a usual encoder rejects."""
    return msgspec.json.encode(document)


@pytest.mark.parametrize("model", BORDER_MODELS, ids=str)
def test_every_number_from_outside_has_a_range(model: Any) -> None:
    """Guards against a new field that passes the border with a number of hundreds of digits."""
    assert find_unbounded(inspect.type_info(model)) == []


def live(partition: Partition) -> None:
    """Let a partition's jobs start, fail, end, be handed over and be reported."""
    for outcome in ("failed", "done", "stopped"):
        for run in partition.start_planned_runs():
            if run in run.task.runs:
                partition.end_run(run, outcome=outcome)
        for ms in (100, 600, 2500):
            for effect in partition.tick(ms):
                if isinstance(effect, FindShares):
                    _look_for_shares(partition, effect)
    check_report(partition)
    for job in [*partition.state.jobs.values(), *partition.state.finished.values()]:
        assert isinstance(decode_progress(encode_progress(job)), Ok)


def _look_for_shares(partition: Partition, effect: FindShares) -> None:
    for job_id in effect.job_ids:
        choose_share(partition.state.jobs[job_id], {2: [make_entry(cpu=10**6)]})
    partition.apply(SharesFound(**partition.event_times(), partitions={}))


def check_report(partition: Partition) -> None:
    """Check that another process can read the pools' load."""
    answer = PoolsAnswer(pools=measure_pools(partition.state, with_claims=True))
    assert isinstance(decode_answer(encode_message(answer)), Ok)


jobs = st.builds(
    lambda job, steps: job | {"spec": "s", "steps": steps},
    documents(inspect.type_info(JobRequest)),
    st.lists(
        st.builds(
            # Otherwise next to no job has a sound number of tasks.
            lambda step, count: step | {"count": count, "dependsOn": []},
            documents(inspect.type_info(StepRequest)),
            st.sampled_from([1, 2, 40]),
        ),
        min_size=1,
        max_size=2,
    ),
)


@SLOW
@given(jobs)
def test_job_with_extreme_numbers_is_rejected_or_run(job: dict[str, Any]) -> None:
    """Guards against one job that ends each owner of its partition in turn."""
    decoded = decode_job(encode(job))
    if isinstance(decoded, Err):
        assert decoded.err_value
        return
    request = decoded.ok_value
    partition = Partition(workers=2)
    schedule: dict[str, Any] = {
        "repeat_count": request.repeat_count,
        "start_at_ms": request.start_at_ms,
        "interval_ms": request.interval_ms,
    }
    partition.submit(*request.steps, **schedule)
    partition.submit(make_step(), job_id="00000000000000ff")
    live(partition)


@pytest.mark.parametrize("digits", [20, 310, 401, 4300])
@pytest.mark.parametrize(
    "field", ["cpu", "memMb", "gpu", "estimatedMs", "antiAffinity", "targetMs", "maxUnavailable"]
)
def test_step_with_a_huge_number_is_rejected_with_its_field(field: str, digits: int) -> None:
    """Guards against an answer 200 for a job that no owner can compute with."""
    body = b'{"spec":"s","steps":[{"count":1,"%s":%s}]}' % (field.encode(), b"9" * digits)
    decoded = decode_job(body)
    assert isinstance(decoded, Err)
    assert f"$.steps[0].{field}" in decoded.err_value


@pytest.mark.parametrize("field", ["repeatCount", "startAtMs", "intervalMs"])
def test_schedule_with_a_huge_number_is_rejected(field: str) -> None:
    """Guards against an answer 200 for a schedule that no owner can compute with."""
    body = b'{"spec":"s","steps":[{"count":1}],"%s":%s}' % (field.encode(), b"9" * 401)
    assert isinstance(decode_job(body), Err)


@SLOW
@given(st.lists(documents(inspect.type_info(operator._WrittenEntry)), max_size=2))
def test_entry_with_extreme_numbers_is_rejected_or_used(entries: list[dict[str, Any]]) -> None:
    """Guards against one worker's entry that ends all who read the list of workers."""
    partition = Partition(workers=1)
    partition.submit(make_step(count=9))
    listed = dict(partition.entries)
    for number, changed in enumerate(entries):
        document = ENTRY | changed | {"address": ENTRY["address"], "state": "ready"}
        decoded = operator.decode_worker(encode(document | {"service": "portal"}))
        if isinstance(decoded, Ok):
            listed[f"x{number}"] = decoded.ok_value
    partition.apply(WorkersListed(**partition.event_times(), entries=listed))
    for worker_id in listed:
        partition.list_known_runs(worker_id)
    live(partition)


@SLOW
@given(documents(inspect.type_info(workers._Answer)))
def test_listing_with_extreme_numbers_is_rejected_or_used(answer: dict[str, Any]) -> None:
    """Guards against one worker whose answer ends the owner of its partition."""
    checked = workers._check(Reply(status=200, body=encode(answer)))
    if isinstance(checked, Err):
        return
    listing = workers.make_listing(checked.ok_value)
    partition = Partition(workers=1)
    partition.submit(make_step(count=2, saves=True, tail_target_ms=10, fills=True))
    partition.start_planned_runs()
    partition.now_ms += 100
    for sent_ms in (partition.now_ms - 5, partition.now_ms):
        partition.apply(
            WorkerAnswered(
                **partition.event_times(), worker_id="w0", sent_ms=sent_ms, listing=listing
            )
        )
    live(partition)


@SLOW
@given(documents(inspect.type_info(operator.Queue)))
def test_queue_with_extreme_numbers_is_rejected_or_used(queue: dict[str, Any]) -> None:
    """Guards against a configuration whose jobs end each owner in turn."""
    document = {"version": 3, "routes": [queue | {"name": "quotes", "service": "portal"}]}
    decoded = operator.decode_configuration(encode(document))
    if isinstance(decoded, Err):
        return
    partition = Partition(workers=1)
    queues = {known.name: known for known in decoded.ok_value.queues}
    partition.apply(QueuesChanged(**partition.event_times(), queues=queues))
    partition.submit(make_step(count=3), make_step(depends_on=(0,)))
    assert make_terms(queues["quotes"])
    live(partition)


@SLOW
@given(documents(inspect.type_info(advice.Advice)))
def test_advice_with_extreme_numbers_is_rejected_or_used(answer: dict[str, Any]) -> None:
    """Guards against an advisor whose answer ends the owner that has asked."""
    try:
        advised = msgspec.json.decode(encode(answer), type=advice.Advice)
    except ValueError:
        return
    partition = Partition(workers=1)
    partition.submit(make_step())
    (step,) = partition.job(JOB).steps()
    partition.apply(
        AdviceReceived(
            **partition.event_times(),
            step=step,
            worker_ids=("w0",),
            tickets=advised.tickets(),
            asked_ms=partition.now_ms,
            validity_ms=advised.validity_ms,
        )
    )
    partition.apply(Tick(**partition.event_times()))
    live(partition)
