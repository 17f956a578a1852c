"""Tasks that fill give way to tasks that serve."""

from __future__ import annotations

from heatherkeel.dispatch.events import Effect, PaceTask
from heatherkeel.dispatch.models import Run
from heatherkeel.dispatch.pacing import choose_pace
from heatherkeel.platform.workers import RunningTask

from .partition import OTHER_JOB, Partition, make_step


def list_tail(partition: Partition, serving: Run, filling: Run, tail_ms: float) -> list[Effect]:
    """Let the worker tell a serving task's tail."""
    partition.now_ms += 500
    rows = [
        RunningTask(task=run.task.name, attempt=1, saved="", percent=100.0, figure=figure)
        for run, figure in ((serving, tail_ms), (filling, 900.0))
    ]
    effects = partition.list_runs("w0", *rows)
    return [effect for effect in effects if isinstance(effect, PaceTask)]


def test_filling_task_is_stopped_within_the_time_that_a_tail_may_be_over_its_target() -> None:
    """A task that fills disturbs one that serves beside it, whose tail goes over its target.

    Its users notice after some seconds. The pace is halved with each look, so that within three
    of them, 1.5 s, the disturbance has ended, and it comes back only little by little.
    """
    partition = Partition(workers=1)
    partition.submit(make_step(lasts=True, tail_target_ms=50))
    (serving,) = partition.start_planned_runs()
    partition.submit(make_step(cpu=8000, fills=True, lasts=True), job_id=OTHER_JOB)
    (filling,) = partition.start_planned_runs()
    paces = []
    for _ in range(3):
        (effect,) = list_tail(partition, serving, filling, 80.0)
        assert isinstance(effect, PaceTask)
        paces.append(effect.percent)
    assert paces == [50, 25, 0]
    assert not list_tail(partition, serving, filling, 40.0)
    (effect,) = list_tail(partition, serving, filling, 20.0)
    assert isinstance(effect, PaceTask) and effect.percent == 10


def test_filling_task_takes_no_counted_processor() -> None:
    partition = Partition(workers=1, cpu=8000)
    partition.submit(make_step(cpu=8000))
    partition.submit(make_step(cpu=8000, fills=True), job_id=OTHER_JOB)
    assert len(partition.start_planned_runs()) == 2


def test_pace_that_is_not_known_is_set_anew() -> None:
    assert choose_pace(-1, 1.2) == 50
    assert choose_pace(-1, 0.7) == 100
