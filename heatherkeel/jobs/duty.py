"""The jobs duty of an entry process: places jobs, starts tasks and records their results."""

from __future__ import annotations

import logging
from collections.abc import Iterable

import trio
from result import Err, Ok, Result

from heatherkeel.core.models import RecordBody
from heatherkeel.entry.const import WRITE_TIMEOUT_S
from heatherkeel.entry.node import Node
from heatherkeel.fleetlog.errors import PlatformError
from heatherkeel.fleetlog.task_client import TaskClient
from heatherkeel.fleetlog.tasks import TaskList, TaskRequest, TaskState, TaskView, ThrottleRequest

from .const import MAX_CACHED_VIEWS, MAX_CONCURRENT_CALLS, ROUND_INTERVAL_MS
from .draining import plan_drains
from .models import (
    CheckpointTask,
    Job,
    StartTask,
    StopTask,
    TaskEffect,
    ThrottleTask,
    job_id_of_task,
    latest_task_id,
)
from .observing import find_due_effects, observation_records
from .placers import PlacerOrder
from .policies import DEFAULT_POLICY, POLICIES
from .policy import RoundRequest

_LOGGER = logging.getLogger(__name__)


class JobsDuty:
    """Handles the jobs of the pools that are assigned to this process; has no durable state."""

    def __init__(self, *, node: Node) -> None:
        self.node = node
        self.instance = node.settings.instance.id
        self.task_client = TaskClient(client=node.client)
        self.placer_order = PlacerOrder()
        self.views: dict[str, TaskView] = {}
        self.last_change = 0
        self.pools: frozenset[str] = frozenset()
        """Pools handled in the last round, including those taken over for urgent jobs."""
        self.waiting: dict[str, int] = {}
        """Number of jobs that weren't placed in the last round, by reason."""
        self.call_limiter = trio.CapacityLimiter(MAX_CONCURRENT_CALLS)
        self.nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Subscribe to the effects of the fold and to the timer service."""
        self.nursery = nursery
        self.node.subscribe(StartTask, self.handle_start)
        self.node.subscribe(StopTask, self.handle_task_effect)
        self.node.subscribe(CheckpointTask, self.handle_task_effect)
        self.node.subscribe(ThrottleTask, self.handle_task_effect)
        self.node.timers.subscribe(
            name="jobs", interval_ms=ROUND_INTERVAL_MS, callback=self.async_round
        )

    def handle_start(self, effect: StartTask) -> None:
        """Start a task that this process placed."""
        if effect.placer == self.instance:
            self._start_call(effect)

    def handle_task_effect(self, effect: TaskEffect) -> None:
        """Apply an effect to a task if its worker's pool is assigned to this process."""
        worker = self.node.state.fleet.pools.instances.get(effect.instance)
        if worker is not None and worker.pool in self.pools:
            self._start_call(effect)

    async def async_round(self) -> None:
        """Record changes of tasks, place waiting jobs and repeat effects that are still due."""
        await self.node.follower.caught_up.wait()
        fleet = self.node.state.fleet
        if not fleet.jobs.live and not fleet.jobs.orphans:
            return
        now_ms = self.node.clock.now_ms()
        jobs = self.placer_order.assigned_jobs(fleet, self.instance, now_ms)
        self.pools = frozenset(job.spec.pool for job in jobs.values())
        if not jobs and not fleet.jobs.orphans:
            return
        if not await self._async_read_tasks():
            return
        await self._async_write(observation_records(fleet, self._views_of(jobs)))
        await self._async_write(self._plan(jobs, now_ms))
        due = find_due_effects(fleet, self.views, self.instance, jobs=self._live_jobs(jobs))
        await self._async_apply_effects(due)

    async def _async_read_tasks(self) -> bool:
        """Read the tasks that changed; return False if the platform's list can't be read."""
        match await self.task_client.async_list(after=self.last_change):
            case Ok(listed):
                self._apply_task_list(listed)
                return True
            case Err(error):
                _LOGGER.warning(
                    "reading the task list failed: %s",
                    error.detail,
                    extra={"event": "tasks_not_read"},
                )
                return False

    def _apply_task_list(self, listed: TaskList) -> None:
        # A lower change count means that the platform was restored, so cached views are invalid.
        if listed.upto < self.last_change:
            self.views = {}
        self.last_change = listed.upto
        self.views.update({view.task: view for view in listed.tasks})
        if len(self.views) > MAX_CACHED_VIEWS + 2 * len(self.node.state.fleet.jobs.live):
            self.views = {
                task: view for task, view in self.views.items() if self._is_view_needed(view)
            }

    def _is_view_needed(self, view: TaskView) -> bool:
        """Return whether a view may still be needed.

        Tasks that can run are kept even if their job is unknown, as this process may not have
        read the placement yet.
        """
        if view.state in (TaskState.RUNNING, TaskState.LAPSED):
            return True
        return job_id_of_task(view.task) in self.node.state.fleet.jobs.live

    def _views_of(self, jobs: dict[str, Job]) -> list[TaskView]:
        """Return the views of the given jobs and of abandoned tasks."""
        fleet = self.node.state.fleet
        wanted = [*_task_ids(jobs), *fleet.jobs.orphans]
        return [self.views[task] for task in wanted if task in self.views]

    def _plan(self, jobs: dict[str, Job], now_ms: int) -> list[RecordBody]:
        fleet = self.node.state.fleet
        request = RoundRequest(
            placer=self.instance,
            pools=self.pools,
            jobs=self._live_jobs(jobs),
            now_ms=now_ms,
        )
        planned = POLICIES[DEFAULT_POLICY](fleet, request)
        self.waiting = planned.waiting
        return [*planned.records, *plan_drains(fleet, request.jobs).records]

    def _live_jobs(self, jobs: dict[str, Job]) -> dict[str, Job]:
        """Return the current state of the given jobs, without those that have finished."""
        live = self.node.state.fleet.jobs.live
        return {job_id: live[job_id] for job_id in jobs if job_id in live}

    async def _async_write(self, bodies: Iterable[RecordBody]) -> None:
        """Write records concurrently, and wait until the fold has decided them."""
        async with trio.open_nursery() as nursery:
            for body in bodies:
                nursery.start_soon(self._async_write_one, body)

    async def _async_write_one(self, body: RecordBody) -> None:
        await self.node.writer.async_write(body, timeout_s=WRITE_TIMEOUT_S)

    def _start_call(self, effect: TaskEffect) -> None:
        if self.nursery is not None:
            self.nursery.start_soon(self._async_apply_effect, effect)

    async def _async_apply_effects(self, effects: Iterable[TaskEffect]) -> None:
        async with trio.open_nursery() as nursery:
            for effect in effects:
                nursery.start_soon(self._async_apply_effect, effect)

    async def _async_apply_effect(self, effect: TaskEffect) -> None:
        """Make the platform call of one effect; a failed call is logged, and repeated if due."""
        async with self.call_limiter:
            outcome = await self._async_call_platform(effect)
        match outcome:
            case Ok(view):
                # A view from the list may be newer than this response, so don't replace it.
                self.views.setdefault(view.task, view)
            case Err(error):
                extra = {"event": "task_call_failed", "call": type(effect).__name__}
                _LOGGER.warning("task call failed: %s", error.detail, extra=extra)

    async def _async_call_platform(self, effect: TaskEffect) -> Result[TaskView, PlatformError]:
        match effect:
            case StartTask():
                return await self.task_client.async_start(effect.task, _start_request(effect))
            case StopTask():
                return await self.task_client.async_stop(effect.task, effect.instance)
            case CheckpointTask():
                return await self.task_client.async_checkpoint(effect.task)
            case ThrottleTask():
                throttle = ThrottleRequest(cpu_millicores=effect.cpu_millicores)
                return await self.task_client.async_throttle(effect.task, throttle)


def _task_ids(jobs: dict[str, Job]) -> Iterable[str]:
    return (latest_task_id(job_id, job) for job_id, job in jobs.items() if job.attempt)


def _start_request(effect: StartTask) -> TaskRequest:
    return TaskRequest(
        instance=effect.instance,
        program=effect.program,
        cpu_millicores=effect.resources.cpu_millicores,
        memory_mib=effect.resources.memory_mib,
        accelerators=effect.resources.accelerators,
        resume_from=effect.resume_from,
        not_after_ms=effect.not_after_ms,
    )
