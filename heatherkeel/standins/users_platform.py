"""The users' platform in one loop: its store, its workers and its machines, with faults."""

from __future__ import annotations

import itertools
import time
from dataclasses import dataclass, field
from typing import Any, Final

import trio

from heatherkeel.helpers.asgi import Request
from heatherkeel.http_server.server import HttpServer

from .entries import ENTRIES_TOPIC, HEARTBEAT_S, drop_entry, make_entry
from .faults import Faults
from .fleet_worker import FIRST_CLOCK_MS, FleetWorker, WorkOf
from .history import TaskEvent
from .keyed_log import Answer, KeyedLog
from .link import Link
from .machines_api import DOWN, MOVING, UP, ListedMachine, MachinesApi
from .operator_records import demand_wave, read_wave_state, write_configuration
from .serving import make_app
from .store_api import LOOK_S, StoreApi
from .worker_api import WorkerApi

MOVE_S: Final = 0.2
"""How long a machine is away when it moves or is maintained, in seconds."""
CRASH_S: Final = 0.4
"""How long a machine is away after its worker has crashed, in seconds."""


@dataclass(kw_only=True, slots=True)
class StandinMachine(ListedMachine):
    """A machine, and the life of the worker on it."""

    worker: FleetWorker | None = None
    server: HttpServer | None = None
    leaves_s: float | None = None
    """When its worker leaves, if it drains, in seconds of the monotonic clock."""

    def worker_id(self) -> str | None:
        """Return the id of the worker on it."""
        return self.worker.id if self.worker else None

    def report_draining(self) -> dict[str, Any]:
        """Return what its worker reports about draining."""
        if self.leaves_s is None:
            return {"state": "ready"}
        left_ms = max(0, round(1000 * (self.leaves_s - time.monotonic())))
        return {"state": "draining", "remainingMs": left_ms}


@dataclass(kw_only=True)
class UsersPlatform:
    """Starts and stops the stand-ins; tests read its fields."""

    work_of: WorkOf
    standby: str = "spare"
    log: KeyedLog = field(default_factory=KeyedLog)
    faults: Faults = field(default_factory=Faults)
    machines: dict[str, StandinMachine] = field(default_factory=dict)
    everyone: list[FleetWorker] = field(default_factory=list)
    """Every life of every worker, for tests."""
    history: list[TaskEvent] = field(default_factory=list)
    """What workers did, for tests."""
    foreign_entries: dict[str, bytes] = field(default_factory=dict)
    """Entries of another writer, which are written beside those of the workers."""

    def __post_init__(self) -> None:
        self.ids = itertools.count(1)
        self.nursery: trio.Nursery | None = None
        self.store_api = StoreApi(log=self.log, faults=self.faults)
        self.worker_api = WorkerApi(faults=self.faults)
        self.store = HttpServer(app=make_app(self.store_api.async_handle), bind="127.0.0.1:0")
        self.side_link = Link()
        """Carries the answers of the store's second address."""
        self.side_store = HttpServer(
            app=make_app(self.store_api.async_handle_side, link=self.side_link),
            bind="127.0.0.1:0",
        )
        """The same store at a second address, for processes that it turns away alone."""
        self.machines_api = MachinesApi(
            machines=self.machines, async_take_away=self._async_take_away
        )
        self.maintained = self.machines_api.maintained
        self.allowed = self.machines_api.allowed
        self.cloud = HttpServer(app=make_app(self.machines_api.async_handle), bind="127.0.0.1:0")

    async def start(self, nursery: trio.Nursery) -> None:
        """Open the store and the machines' service."""
        self.nursery = nursery
        await self.store.start(nursery)
        await self.side_store.start(nursery)
        await self.cloud.start(nursery)
        nursery.start_soon(self._async_live)

    async def async_add_machine(self, name: str, pool: str) -> StandinMachine:
        """Add a machine; in the standby pool it is off."""
        machine = self.machines[name] = StandinMachine(name=name, pool=pool)
        await self._async_boot(machine)
        return machine

    def configure(
        self,
        version: int,
        queues: list[dict[str, Any]],
        services: list[str],
        *,
        workspaces: list[dict[str, Any]] | None = None,
    ) -> None:
        """Write a configuration as the operator does."""
        write_configuration(
            self.log,
            version=version,
            queues=queues,
            services=services,
            standby=self.standby,
            workspaces=workspaces,
        )

    def demand_wave(self, number: int, machines: list[str], *, max_down: int) -> None:
        """Ask for maintenance as the operator does."""
        demand_wave(self.log, number, machines, max_down=max_down)

    def wave_state(self, number: int) -> str:
        """Return what the system has told of a wave."""
        return read_wave_state(self.log, number)

    async def async_end_worker(self, machine: StandinMachine) -> None:
        """End a worker's life, without a word."""
        if machine.worker is not None:
            machine.worker.end_life()
        if machine.server is not None:
            await machine.server.close(finish_timeout_s=0.0)
        machine.worker = machine.server = None

    async def async_crash(self, machine: StandinMachine, *, away_s: float = CRASH_S) -> None:
        """End a worker's life without a word, and begin another on its machine after a while."""
        machine.state = DOWN
        earlier = machine.worker if self.faults.keep_ids else None
        await self.async_end_worker(machine)
        assert self.nursery is not None
        self.nursery.start_soon(self._async_return, machine, away_s, earlier)

    async def async_drain(self, machine: StandinMachine, *, for_s: float) -> None:
        """Let a worker drain, and leave for good after a while."""
        machine.leaves_s = time.monotonic() + for_s
        await trio.sleep(for_s)
        machine.state = DOWN
        await self.async_end_worker(machine)

    async def _async_boot(
        self, machine: StandinMachine, earlier: FleetWorker | None = None
    ) -> None:
        """Begin a worker's life; after an `earlier` one, under its id and at its address."""
        machine.state = UP
        if machine.pool == self.standby:
            return
        worker = FleetWorker(
            id=earlier.id if earlier else f"i-{next(self.ids)}",
            service=machine.pool,
            machine=machine.name,
            work_of=self.work_of,
            first_clock_ms=0 if earlier else FIRST_CLOCK_MS,
            history=self.history,
        )

        async def async_handle(request: Request, body: bytes) -> Answer:
            return await self.worker_api.async_handle(worker, request, body)

        address = earlier.address if earlier else "127.0.0.1:0"
        machine.server = HttpServer(app=make_app(async_handle), bind=address)
        assert self.nursery is not None
        worker.address = await machine.server.start(self.nursery)
        machine.worker = worker
        self.everyone.append(worker)

    async def _async_live(self) -> None:
        """Let tasks end, and workers write their entries."""
        for turn in itertools.count():
            for machine in self.machines.values():
                if machine.worker is None:
                    continue
                machine.worker.look()
                if machine.worker.has_crashed:
                    await self.async_crash(machine)
            is_due = turn % round(HEARTBEAT_S / LOOK_S) == 0
            if is_due and not self.faults.entries_silent:
                self._write_entries(turn)
            await trio.sleep(LOOK_S)

    def _write_entries(self, turn: int) -> None:
        entries = {}
        for machine in self.machines.values():
            if machine.worker is not None:
                entries[machine.worker.id] = make_entry(
                    machine,
                    service=machine.worker.service,
                    address=machine.worker.address,
                    born=machine.worker.born,
                    cpu=machine.worker.cpu,
                    sequence=turn,
                    report=machine.report_draining(),
                )
        entries |= self.foreign_entries
        for worker_id in self.log.newest(ENTRIES_TOPIC, 0).keys() - entries.keys():
            drop_entry(self.log, worker_id)
        for worker_id, value in entries.items():
            self.log.put(ENTRIES_TOPIC, worker_id, value)

    async def _async_take_away(self, name: str, pool: str) -> Answer:
        """End what runs on a machine, and bring it back in a pool after a while."""
        machine = self.machines[name]
        if machine.state != UP:
            return Answer(status=409, body={"reason": "busy"})
        machine.state = MOVING
        machine.pool = pool
        await self.async_end_worker(machine)
        assert self.nursery is not None
        self.nursery.start_soon(self._async_return, machine, MOVE_S)
        return Answer()

    async def _async_return(
        self, machine: StandinMachine, after_s: float, earlier: FleetWorker | None = None
    ) -> None:
        await trio.sleep(after_s)
        await self._async_boot(machine, earlier)
