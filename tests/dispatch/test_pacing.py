"""Pacing of best-effort tasks beside long-running tasks with a latency target."""

from __future__ import annotations

from heatherkeel.dispatch.events import Effect, PaceTask
from heatherkeel.dispatch.models import Run
from heatherkeel.dispatch.pacing import choose_pace
from heatherkeel.platform.workers import RunningTask

from .partition import OTHER_JOB, Partition, make_step


def list_tail_latency(
    partition: Partition, serving: Run, best_effort: Run, tail_ms: float
) -> list[Effect]:
    """Let the worker list a long-running task's tail latency; return the pace effects."""
    partition.now_ms += 500
    rows = [
        RunningTask(task=run.task.name, attempt=1, saved="", percent=100.0, figure=figure)
        for run, figure in ((serving, tail_ms), (best_effort, 900.0))
    ]
    effects = partition.list_runs("w0", *rows)
    return [effect for effect in effects if isinstance(effect, PaceTask)]


def test_best_effort_task_is_throttled_to_zero_within_three_listings() -> None:
    """Guards against best-effort tasks that keep a tail latency over its target."""
    partition = Partition(workers=1)
    partition.submit(make_step(lasts=True, tail_target_ms=50))
    (serving,) = partition.start_planned_runs()
    partition.submit(make_step(cpu=8000, fills=True, lasts=True), job_id=OTHER_JOB)
    (best_effort,) = partition.start_planned_runs()
    paces = []
    for _ in range(3):
        (effect,) = list_tail_latency(partition, serving, best_effort, 80.0)
        assert isinstance(effect, PaceTask)
        paces.append(effect.percent)
    assert paces == [50, 25, 0]
    assert not list_tail_latency(partition, serving, best_effort, 40.0)
    (effect,) = list_tail_latency(partition, serving, best_effort, 20.0)
    assert isinstance(effect, PaceTask) and effect.percent == 10


def test_best_effort_task_reserves_no_cpu() -> None:
    partition = Partition(workers=1, cpu=8000)
    partition.submit(make_step(cpu=8000))
    partition.submit(make_step(cpu=8000, fills=True), job_id=OTHER_JOB)
    assert len(partition.start_planned_runs()) == 2


def test_unknown_pace_is_set_again() -> None:
    assert choose_pace(-1, 1.2) == 50
    assert choose_pace(-1, 0.7) == 100
