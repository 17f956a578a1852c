"""The task side of the platform's stand-in: tasks under leases on workers that can fail."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import msgspec

from heatherkeel.fleetlog.tasks import (
    ReportedExit,
    TaskList,
    TaskRequest,
    TaskState,
    TaskView,
)


class Program(msgspec.Struct, frozen=True, kw_only=True):
    """What a stand-in task does; a job carries it as JSON in its `program`."""

    run_ms: int = 200
    exit: ReportedExit = ReportedExit.SUCCEEDED
    peak_memory_mib: int = 10
    cpu_millicores: int = 100


class WorkerFaults(msgspec.Struct, kw_only=True):
    """What is wrong with one worker now."""

    cut: bool = False
    """The platform doesn't hear from it; its tasks run on."""
    fails_all: bool = False
    refuses: bool = False


class TaskFaults(msgspec.Struct, kw_only=True):
    """What is wrong with the task interface now; the first two count down."""

    lose_start_answers: int = 0
    """Starts take effect, but the answer never comes."""
    lose_starts: int = 0
    """Starts are lost on their way, and no answer comes."""
    lease_ms: int = 2_000
    usage_lag_ms: int = 0
    list_stands_still: bool = False
    """The list of tasks shows nothing new."""
    checkpoint_ms: int = 100
    forget_voids: bool = False
    """Start tasks that were stopped before they started: breaks what we rely on."""
    workers: dict[str, WorkerFaults] = {}


@dataclass(kw_only=True)
class Task:
    """One task, as it really is and as the platform shows it; times in milliseconds."""

    view: TaskView
    program: Program
    memory_mib: int = 0
    runs_until_ms: int = 0
    started_ms: int = 0
    heard_ms: int = 0
    changed: int = 0
    alive: bool = False
    """It really runs, whether the platform hears of it or not."""
    outcome: ReportedExit = ReportedExit.NONE
    checkpoint_at_ms: int = 0
    stop_wanted: bool = False
    remaining_ms: int = 0
    """What a saved checkpoint left to do."""


@dataclass(kw_only=True)
class TaskTable:
    """All tasks; time is passed in, so that tests drive it without waiting."""

    faults: TaskFaults = field(default_factory=TaskFaults)
    tasks: dict[str, Task] = field(default_factory=dict)
    changes: int = 0
    fresh_runs: Counter[str] = field(default_factory=Counter)
    """Real starts from the beginning, by job."""
    successes: Counter[str] = field(default_factory=Counter)

    def start(self, task_id: str, request: TaskRequest, now_ms: int) -> TaskView:
        """Start a task once; a repeat answers with what became of it."""
        known = self.tasks.get(task_id)
        if known is not None and not self._forgotten(known):
            return known.view
        worker = self.worker(request.instance)
        if worker.cut or now_ms > request.not_after_ms:
            return self._void(task_id, request.instance, "not reached in time")
        if worker.refuses:
            return self._void(task_id, request.instance, "refused", ReportedExit.REFUSED)
        return self._run(task_id, request, now_ms).view

    def stop(self, task_id: str, instance: str, now_ms: int) -> TaskView:
        """Stop a task; one that never started is void from now on."""
        task = self.tasks.get(task_id)
        if task is None:
            return self._void(task_id, instance, "stopped before it started")
        task.stop_wanted = True
        self.advance(now_ms)
        return task.view

    def checkpoint(self, task_id: str, now_ms: int) -> None:
        """Begin a checkpoint, after which the task stops."""
        task = self.tasks.get(task_id)
        if task is not None and task.alive and task.checkpoint_at_ms == 0:
            task.checkpoint_at_ms = now_ms + self.faults.checkpoint_ms

    def advance(self, now_ms: int) -> None:
        """Let time pass: tasks end, leases lapse, workers are heard of again."""
        for task in list(self.tasks.values()):
            if task.alive:
                self._advance_alive(task, now_ms)
            self._hear(task, now_ms)

    def reboot(self, instance: str) -> None:
        """Restart a worker: its tasks are gone, but only a heard worker shows it."""
        for task in self.tasks.values():
            if task.view.instance == instance and task.alive:
                task.alive = False

    def changed_since(self, count: int) -> TaskList:
        """Return the tasks that changed after a count of changes."""
        if self.faults.list_stands_still:
            return TaskList(upto=count, tasks=[])
        changed = [task.view for task in self.tasks.values() if task.changed > count]
        return TaskList(upto=self.changes, tasks=changed)

    def worker(self, instance: str) -> WorkerFaults:
        """Return the faults of a worker."""
        return self.faults.workers.setdefault(instance, WorkerFaults())

    def _forgotten(self, task: Task) -> bool:
        return self.faults.forget_voids and task.view.state is TaskState.VOID

    def _void(
        self,
        task_id: str,
        instance: str,
        detail: str,
        task_exit: ReportedExit = ReportedExit.NONE,
    ) -> TaskView:
        view = TaskView(
            task=task_id, instance=instance, state=TaskState.VOID, exit=task_exit, detail=detail
        )
        self.tasks[task_id] = Task(view=view, program=Program())
        return self._show(self.tasks[task_id], view)

    def _run(self, task_id: str, request: TaskRequest, now_ms: int) -> Task:
        program = _decode_program(request.program)
        earlier = self.tasks.get(request.resume_from)
        left_ms = program.run_ms if earlier is None else earlier.remaining_ms
        view = TaskView(task=task_id, instance=request.instance, state=TaskState.RUNNING)
        task = Task(
            view=view,
            program=program,
            memory_mib=request.memory_mib,
            alive=True,
            started_ms=now_ms,
            heard_ms=now_ms,
            runs_until_ms=now_ms + left_ms,
        )
        self.tasks[task_id] = task
        if not request.resume_from:
            self.fresh_runs[job_of(task_id)] += 1
        self._show(task, view)
        return task

    def _advance_alive(self, task: Task, now_ms: int) -> None:
        worker = self.worker(task.view.instance)
        if worker.fails_all:
            self._end(task, ReportedExit.FAILED)
        elif now_ms >= task.runs_until_ms:
            self._end(task, task.program.exit)
        elif worker.cut:
            return
        elif task.stop_wanted:
            self._end(task, ReportedExit.STOPPED)
        elif 0 < task.checkpoint_at_ms <= now_ms:
            task.remaining_ms = task.runs_until_ms - now_ms
            self._end(task, ReportedExit.CHECKPOINTED)

    def _end(self, task: Task, outcome: ReportedExit) -> None:
        task.alive = False
        task.outcome = outcome
        if outcome is ReportedExit.SUCCEEDED:
            self.successes[job_of(task.view.task)] += 1

    def _hear(self, task: Task, now_ms: int) -> None:
        """Bring the platform's view up to date with what it can hear of the worker."""
        if task.view.state in (TaskState.VOID, TaskState.ENDED, TaskState.GONE):
            return
        if self.worker(task.view.instance).cut:
            if task.view.state is TaskState.RUNNING and self._has_lapsed(task, now_ms):
                self._change(task, state=TaskState.LAPSED)
            return
        task.heard_ms = now_ms
        if task.alive:
            self._show_running(task, now_ms)
        elif task.outcome is ReportedExit.NONE:
            self._change(task, state=TaskState.GONE)
        else:
            self._change(
                task,
                state=TaskState.ENDED,
                exit=task.outcome,
                peak_memory_mib=task.program.peak_memory_mib,
                cpu_millicores=task.program.cpu_millicores,
            )

    def _has_lapsed(self, task: Task, now_ms: int) -> bool:
        return now_ms - task.heard_ms >= self.faults.lease_ms

    def _show_running(self, task: Task, now_ms: int) -> None:
        if task.view.state is not TaskState.RUNNING:
            self._change(task, state=TaskState.RUNNING)
        lag_over = now_ms - task.started_ms >= self.faults.usage_lag_ms
        if lag_over and task.view.peak_memory_mib == 0:
            self._change(
                task,
                peak_memory_mib=task.program.peak_memory_mib,
                cpu_millicores=task.program.cpu_millicores,
            )

    def _change(self, task: Task, **changes: object) -> None:
        self._show(task, msgspec.structs.replace(task.view, **changes))

    def _show(self, task: Task, view: TaskView) -> TaskView:
        self.changes += 1
        task.changed = self.changes
        task.view = view
        return view


def job_of(task_id: str) -> str:
    """Return the job of a task; the stand-in counts by it."""
    return task_id.rsplit(":", 2)[0]


def _decode_program(text: str) -> Program:
    try:
        return msgspec.json.decode(text.encode(), type=Program)
    except msgspec.DecodeError:
        return Program()
