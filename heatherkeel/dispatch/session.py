"""Calls from a partition's owner to one worker: listings, which renew its lease, and orders."""

from __future__ import annotations

import math

import trio
from result import Err

from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.workers import StartOrder, WorkerClient

from .const import (
    FAILED_LIST_PAUSE_MS,
    IDLE_LIST_MS,
    LIST_WAIT_MS,
    ORDER_SENDERS,
    WATCH_WAIT_MS,
)
from .events import (
    Effect,
    PaceTask,
    StartAnswered,
    StartTask,
    StopAnswered,
    StopTask,
    WorkerAnswered,
    WorkerFailed,
)
from .items import ItemFailedError, blame_worker
from .models import Run, RunState
from .ports import OwnerPort
from .retries import choose_retry_pause_ms
from .suspicion import needs_check
from .worker import Worker

_MAX_ORDERS = math.inf


class WorkerSession:
    """Calls one incarnation of a worker for the owner of its partition."""

    def __init__(self, *, owner: OwnerPort, worker: Worker) -> None:
        self.owner = owner
        self.worker = worker
        self.client = WorkerClient(worker_id=worker.id, address=worker.entry.address)
        self.scope = trio.CancelScope()
        self.failures = 0
        """Consecutive listings that failed."""
        self.work_arrived = trio.Event()
        self.stored = trio.Event()
        self.send_order, self.orders = trio.open_memory_channel[Effect](_MAX_ORDERS)

    def queue_order(self, effect: Effect) -> None:
        """Queue an order."""
        self.send_order.send_nowait(effect)
        self.work_arrived.set()

    def notify_stored(self) -> None:
        """Wake the listing loop after ends were stored, so that it can acknowledge them."""
        self.stored.set()

    async def async_run(self) -> None:
        """Send listings and orders until the owner closes the session."""
        try:
            with blame_worker(self.worker.id), self.scope:
                async with trio.open_nursery() as nursery:
                    for _ in range(ORDER_SENDERS):
                        nursery.start_soon(self._async_send_orders)
                    await self._async_list()
        except ItemFailedError as err:
            self.owner.set_aside(err)
        with trio.CancelScope(shield=True):
            await self.client.close()

    def close(self) -> None:
        """End the session; running tasks are not affected."""
        self.scope.cancel()

    async def _async_list(self) -> None:
        while True:
            if not self.owner.can_order():
                await trio.sleep(FAILED_LIST_PAUSE_MS / 1000)
            elif await self._async_list_once():
                self.failures = 0
                await self._async_wait_due()
            else:
                self.failures += 1
                pause_ms = choose_retry_pause_ms(
                    self.worker.id, failures=self.failures, has_runs=bool(self.worker.runs)
                )
                await trio.sleep(pause_ms / 1000)

    async def _async_wait_due(self) -> None:
        """Wait until the next listing is due."""
        if self.worker.last_acknowledged_end < self.worker.last_stored_end:
            # Acknowledge stored ends at once: while waiting for newer ones, the listing would
            # become too old.
            return
        if self.worker.last_processed_end > self.worker.last_stored_end:
            # Unacknowledged ends are listed again at once, so wait until they are stored.
            with trio.move_on_after(LIST_WAIT_MS / 1000):
                await self.stored.wait()
            self.stored = trio.Event()
        elif not self.worker.runs:
            with trio.move_on_after(IDLE_LIST_MS / 1000):
                await self.work_arrived.wait()
            self.work_arrived = trio.Event()

    async def _async_list_once(self) -> bool:
        worker = self.worker
        sent_ms = monotonic_ms()
        is_first = worker.clock_ms is None
        # Each call may arrive, so each one that names a lease has to count as a renewal. Renewed
        # without an answer, the lease would never expire, and no task there could start elsewhere.
        renews = not is_first and not worker.is_unresponsive
        lease_until_ms = self._lease_until() if renews else None
        acknowledged = worker.to_acknowledge(sent_ms)
        listed = await self.client.async_hold(
            token=self.owner.state.token,
            acknowledged=acknowledged,
            lease_until_ms=lease_until_ms,
            wait_ms=0 if is_first or worker.is_unresponsive else self._wait_ms(),
        )
        if self.owner.state.workers.get(worker.id) is not worker:
            return False
        now_ms, wall_ms = self.owner.times()
        if isinstance(listed, Err):
            if listed.err_value.failure is Failure.FENCED:
                self.owner.on_fenced()
            failed = WorkerFailed(
                now_ms=now_ms, wall_ms=wall_ms, worker_id=worker.id, error=listed.err_value
            )
            self.owner.handle_event(failed)
            return False
        answered = WorkerAnswered(
            now_ms=now_ms,
            wall_ms=wall_ms,
            worker_id=worker.id,
            sent_ms=sent_ms,
            listing=listed.ok_value,
            acknowledged=acknowledged,
        )
        self.owner.handle_event(answered)
        return True

    def _wait_ms(self) -> int:
        if not self.worker.runs:
            return 0
        requests = [run.task.step.request for run in self.worker.runs.values()]
        expects_no_end = all(step.lasts and not step.fills for step in requests)
        return LIST_WAIT_MS if expects_no_end else WATCH_WAIT_MS

    def _lease_until(self) -> int:
        """Return the end of lease to send, and record it as sent."""
        now_ms = monotonic_ms()
        until_ms = self.worker.clock_at(now_ms) + self.owner.state.lease_ms
        self.worker.lease_until_ms = max(self.worker.lease_until_ms, until_ms)
        return until_ms

    async def _async_send_orders(self) -> None:
        async for effect in self.orders:
            match effect:
                case StartTask():
                    await self._async_start(effect)
                case StopTask():
                    await self._async_stop(effect)
                case PaceTask():
                    await self._async_pace(effect)

    async def _async_start(self, effect: StartTask) -> None:
        run = effect.run
        is_answering = await self._async_prepare_start(run)
        if not _is_planned(run):
            return
        if self.worker.is_unresponsive or not is_answering:
            # Each start names a new end of lease too. One that wasn't sent is certainly not done.
            self._handle_start(run, CallError(failure=Failure.REFUSED, detail="not sent"))
            return
        run.state = RunState.SENT
        run.sent_ms = monotonic_ms()
        started = await self.client.async_start_task(
            StartOrder(
                task=run.task.name,
                attempt=run.attempt,
                spec=run.task.step.job.request.spec,
                token=self.owner.state.token,
                lease_until_ms=self._lease_until(),
                saved=run.saved,
                ticket=run.ticket,
            )
        )
        error = started.err_value if isinstance(started, Err) else None
        if error is not None and error.failure is Failure.FENCED:
            self.owner.on_fenced()
        if error is not None:
            # List at once to find out whether the worker still responds.
            self.work_arrived.set()
        self._handle_start(run, error)

    async def _async_prepare_start(self, run: Run) -> bool:
        """Wait until orders may be sent; returns whether a suspect's worker answers right then."""
        while True:
            while not self.owner.can_order():
                # The membership has expired, so another instance may own this partition. Either it
                # is renewed, or this session is closed.
                await trio.sleep(FAILED_LIST_PAUSE_MS / 1000)
            if not needs_check(run) or not _is_planned(run) or self.worker.is_unresponsive:
                return True
            run.is_checked = await self._async_check()
            if self.owner.can_order():
                return run.is_checked

    async def _async_check(self) -> bool:
        """List the worker's runs; returns whether this incarnation answered."""
        listed = await self.client.async_hold(
            token=self.owner.state.token, acknowledged=0, lease_until_ms=None, wait_ms=0
        )
        if isinstance(listed, Err):
            if listed.err_value.failure is Failure.FENCED:
                self.owner.on_fenced()
            # List at once to find out whether the worker still responds.
            self.work_arrived.set()
            return False
        return not self.worker.is_other_incarnation(listed.ok_value.born)

    def _handle_start(self, run: Run, error: CallError | None) -> None:
        now_ms, wall_ms = self.owner.times()
        self.owner.handle_event(StartAnswered(now_ms=now_ms, wall_ms=wall_ms, run=run, error=error))

    async def _async_stop(self, effect: StopTask) -> None:
        run = effect.run
        if run not in run.task.runs:
            return
        stopped = await self.client.async_stop_task(
            task=run.task.name, attempt=run.attempt, token=self.owner.state.token
        )
        error = stopped.err_value if isinstance(stopped, Err) else None
        if error is not None:
            await trio.sleep(FAILED_LIST_PAUSE_MS / 1000)
        now_ms, wall_ms = self.owner.times()
        self.owner.handle_event(StopAnswered(now_ms=now_ms, wall_ms=wall_ms, run=run, error=error))

    async def _async_pace(self, effect: PaceTask) -> None:
        run = effect.run
        paced = await self.client.async_pace_task(
            task=run.task.name,
            attempt=run.attempt,
            percent=effect.percent,
            token=self.owner.state.token,
        )
        if isinstance(paced, Err):
            # The next check of the tail latencies sets the pace again.
            run.pace = -1


def _is_planned(run: Run) -> bool:
    """Return whether a run's start is still to be sent."""
    return run in run.task.runs and run.state is RunState.PLANNED
