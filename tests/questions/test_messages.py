"""Messages between processes are decoded completely or rejected."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from heatherkeel.durations.messages import (
    ContentRow,
    DurationsOffer,
    DurationsReport,
    QueueRow,
)
from heatherkeel.ownership.partitions import Layout
from heatherkeel.questions.messages import (
    Answer,
    Claim,
    JobAnswer,
    JobQuestion,
    LayoutAnswer,
    LayoutQuestion,
    Need,
    NotOwner,
    PoolLoad,
    PoolsAnswer,
    PoolsQuestion,
    Question,
    QueueAnswer,
    QueueQuestion,
    decode_answer,
    decode_question,
    encode_message,
)

LOAD = PoolLoad(
    service="desk",
    wanted_cpu=10,
    used_cpu=5,
    workers={"w0": 5},
    empty=["w1"],
    lasting={"w0": 2},
    needs=[Need(label="b", gpu=1)],
)

ROWS = [QueueRow(queue="quotes", sums=[1.5] * 9)]
CONTENTS = [ContentRow(key=(1 << 63) - 1, tasks=4, mean_log=6.5)]
OFFER = DurationsOffer(relay=5, owner=7, since=3, age_ms=40, queues=ROWS, contents=CONTENTS)
REPORT = DurationsReport(owner=7, revision=3, queues=ROWS, contents=CONTENTS)
CLAIM = Claim(priority=1, in_time_cpu=8, soon_cpu=5, late_cpu=2, lasting_cpu=1)


@pytest.mark.parametrize(
    "question",
    [
        JobQuestion(partition=1, job_id="aa"),
        QueueQuestion(partition=2, queue="quotes"),
        PoolsQuestion(partition=3, leaving=["w0"], due=["w1"]),
        PoolsQuestion(partition=3, leaving=[], durations=OFFER),
        PoolsQuestion(partition=3, leaving=["w0"], yielding=["w0"], divides=True),
        LayoutQuestion(partition=-1),
    ],
)
def test_questions_round_trip(question: Question) -> None:
    assert decode_question(encode_message(question)).unwrap() == question


@pytest.mark.parametrize(
    "answer",
    [
        JobAnswer(state="active"),
        QueueAnswer(pending=7),
        PoolsAnswer(pools=[LOAD]),
        PoolsAnswer(pools=[], durations=REPORT),
        PoolsAnswer(pools=[msgspec.structs.replace(LOAD, claims=[CLAIM], kept={"w0": 3})]),
        LayoutAnswer(layout=Layout(shares={"desk": (0, 3)}, places={"m1": 4}, homes={"desk": 9})),
        NotOwner(),
    ],
)
def test_answers_round_trip(answer: Answer) -> None:
    assert decode_answer(encode_message(answer)).unwrap() == answer


@given(st.binary())
def test_malformed_messages_return_errors(data: bytes) -> None:
    assert isinstance(decode_question(data), Err)
    assert isinstance(decode_answer(data), Err)
