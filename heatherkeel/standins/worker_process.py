"""Runs one worker as a process of its own, life after life."""

from __future__ import annotations

import logging
import os
import signal
import time
from dataclasses import dataclass, field
from functools import partial
from typing import Final

import msgspec
import trio
from result import Err, Ok

from heatherkeel.helpers.asgi import Request
from heatherkeel.helpers.signals import async_wait_for_stop
from heatherkeel.http_server.server import HttpServer

from .control_client import ControlClient
from .control_models import Beat, BeatAnswer, BeginAnswer, BeginQuestion, LifeOver
from .entries import HEARTBEAT_S
from .fault_changes import WORKER_FAULTS, decode_changes
from .faults import Faults
from .fleet_worker import FIRST_CLOCK_MS, FleetWorker
from .history import LEFT, HistoryFile
from .keyed_log import Answer
from .ports import hold_port
from .serving import make_app
from .specs import work_of
from .store_api import LOOK_S
from .worker_api import WorkerApi
from .worker_models import Slow

_LOGGER = logging.getLogger(__name__)
ASK_S: Final = 0.05
"""Pause between two questions whether a life may begin, in seconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerOptions:
    """Where a worker runs, and for whom."""

    control: str
    machine: str
    pool: str
    bind: str
    announce: str = ""
    """The address that it reports, if it isn't the one at which it listens."""
    id_prefix: str = "i-"
    keep_id: str = ""
    """The id of each of its lives, if they share one."""
    drain_s: float = 1.0


@dataclass(kw_only=True)
class WorkerProcess:
    """Lets lives of a worker begin and end as its platform says."""

    options: WorkerOptions
    history: HistoryFile
    worker: FleetWorker | None = None
    leaves_s: float | None = None
    """When it leaves, if it drains, in seconds of the monotonic clock."""
    address: str = ""
    is_listening: bool = False
    worker_api: WorkerApi = field(default_factory=lambda: WorkerApi(faults=Faults()))

    def __post_init__(self) -> None:
        self.control = ControlClient(address=self.options.control)

    async def async_run(self) -> None:
        """Run life after life, until it is told to leave."""
        self.history.start()
        with hold_port(self.options.bind) as holder:
            host, port = holder.getsockname()
            self.address = f"{host}:{port}"
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._async_leave, nursery.cancel_scope)
                await self._async_run_lives()
        await self.control.close()
        self.history.close()

    async def _async_run_lives(self) -> None:
        is_boot = True
        while True:
            pool = await self._async_wait_for_beginning(is_boot=is_boot)
            is_boot = False
            await self._async_live(pool)

    async def _async_wait_for_beginning(self, *, is_boot: bool) -> str:
        """Return the pool of the next life once it may begin."""
        while True:
            question = BeginQuestion(
                machine=self.options.machine, pool=self.options.pool, is_boot=is_boot
            )
            match await self.control.async_begin(question):
                case Ok(BeginAnswer(life="begin", pool=pool)):
                    return pool
                case Ok(_):
                    is_boot = False
                    self._tell_listening()
            await trio.sleep(ASK_S)

    async def _async_live(self, pool: str) -> None:
        """Live until the platform ends this life."""
        worker = self._make_worker(pool)
        async with trio.open_nursery() as life:
            server = HttpServer(
                app=make_app(partial(self._async_handle, worker)), bind=self.address
            )
            await server.start(life)
            worker.tell_beginning()
            self.worker = worker
            self._tell_listening()
            life.start_soon(self._async_look, worker)
            answer = await self._async_send_heartbeats(worker)
            self.worker = None
            if not worker.is_over:
                worker.end_life(LEFT)
            # No grace: what is in progress goes without an answer, as with a machine that stops.
            life.cancel_scope.cancel()
        await self.control.async_end(self._make_end(worker, is_leaving=False))
        await trio.sleep((answer.away_ms or 0) / 1000)

    def _make_worker(self, pool: str) -> FleetWorker:
        kept = self.options.keep_id
        born = time.time_ns() // 1_000_000
        return FleetWorker(
            id=kept or f"{self.options.id_prefix}{self.options.machine}-{born}",
            service=pool,
            machine=self.options.machine,
            work_of=work_of,
            address=self.options.announce or self.address,
            born=born,
            # The clock of a restarted worker goes back.
            first_clock_ms=0 if kept else FIRST_CLOCK_MS,
            history=self.history,
        )

    async def _async_send_heartbeats(self, worker: FleetWorker) -> BeatAnswer:
        """Send heartbeats until one is answered with the end of this life."""
        while True:
            match await self.control.async_beat(self._make_beat(worker)):
                case Ok(BeatAnswer(life="end") as answer):
                    return answer
            await trio.sleep(HEARTBEAT_S)

    def _make_beat(self, worker: FleetWorker) -> Beat:
        remaining_ms = None
        if self.leaves_s is not None:
            remaining_ms = max(0, round(1000 * (self.leaves_s - time.monotonic())))
        return Beat(
            id=worker.id,
            machine=worker.machine,
            address=worker.address,
            born=worker.born,
            state="ready" if remaining_ms is None else "draining",
            remaining_ms=remaining_ms,
            cpu=worker.cpu,
        )

    def _make_end(self, worker: FleetWorker, *, is_leaving: bool) -> LifeOver:
        return LifeOver(
            id=worker.id, machine=worker.machine, born=worker.born, is_leaving=is_leaving
        )

    async def _async_handle(self, worker: FleetWorker, request: Request, body: bytes) -> Answer:
        """Answer one call, after what was due before it."""
        if request.path == "/control/slow":
            return _slow_down(worker, body)
        if request.path == "/control/faults":
            return self._set_faults(body)
        self._look(worker)
        try:
            answer = await self.worker_api.async_handle(worker, request, body)
        except (ValueError, KeyError) as err:
            return Answer(status=400, body={"error": repr(err)})
        _crash_if_due(worker)
        return answer

    def _set_faults(self, body: bytes) -> Answer:
        """Set the faults that are named; they hold for later lives too."""
        faults = self.worker_api.faults
        match decode_changes(body, faults, allowed=WORKER_FAULTS):
            case Err(fault):
                return Answer(status=400, body={"error": fault})
            case Ok(changes):
                changes.apply(faults)
        return Answer()

    async def _async_look(self, worker: FleetWorker) -> None:
        while True:
            self._look(worker)
            await trio.sleep(LOOK_S)

    def _look(self, worker: FleetWorker) -> None:
        worker.look()
        _crash_if_due(worker)

    async def _async_leave(self, scope: trio.CancelScope) -> None:
        """Drain at the first signal to stop, and leave."""
        await async_wait_for_stop()
        self.leaves_s = time.monotonic() + self.options.drain_s
        worker = self.worker
        if worker is not None:
            await self.control.async_beat(self._make_beat(worker))
            await trio.sleep(self.options.drain_s)
        if self.worker is not None:
            self.worker.end_life(LEFT)
            await self.control.async_end(self._make_end(self.worker, is_leaving=True))
        scope.cancel()

    def _tell_listening(self) -> None:
        """Log once that its port is its own."""
        if not self.is_listening:
            self.is_listening = True
            _LOGGER.info("listening", extra={"event": "listening", "http": self.address})


def _slow_down(worker: FleetWorker, body: bytes) -> Answer:
    try:
        slow = msgspec.json.decode(body, type=Slow)
    except msgspec.DecodeError as err:
        return Answer(status=400, body={"error": str(err)})
    worker.slow_down(slow.factor)
    return Answer()


def _crash_if_due(worker: FleetWorker) -> None:
    """End or stop this process at once, as a task demands."""
    if worker.is_dark:
        os.kill(os.getpid(), signal.SIGSTOP)
        # Whoever lets it go on sees it crash: it has been dark for the platform ever since.
        os.kill(os.getpid(), signal.SIGKILL)
    if worker.has_crashed:
        os.kill(os.getpid(), signal.SIGKILL)
