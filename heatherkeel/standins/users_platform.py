"""The users' platform in one loop: its store, its workers and its machines, with faults."""

from __future__ import annotations

import itertools
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec
import trio
from result import Err

from heatherkeel.helpers.asgi import (
    App,
    Message,
    Receive,
    Request,
    Send,
    async_run_lifespan,
    parse_request,
)
from heatherkeel.helpers.server import HttpServer

from .faults import Faults
from .fleet_worker import FIRST_CLOCK_MS, FleetWorker, WorkOf
from .history import TaskEvent
from .keyed_log import Answer, KeyedLog
from .link import PIECE_BYTES, Link
from .store_api import LOOK_S, StoreApi
from .worker_api import WorkerApi, make_ticket

MOVE_S: Final = 0.2
"""How long a machine is away when it moves or is maintained, in seconds."""
CRASH_S: Final = 0.4
"""How long a machine is away after its worker has crashed, in seconds."""
HEARTBEAT_S: Final = 0.2
_BODY_BYTES: Final = 4 * 1024 * 1024

Handle = Callable[[Request, bytes], Awaitable[Answer]]


@dataclass(kw_only=True, slots=True)
class StandinMachine:
    """A machine, its pool, and the life of the worker on it."""

    name: str
    pool: str
    state: str = "up"
    worker: FleetWorker | None = None
    server: HttpServer | None = None
    kind: str = "a"
    """The kind that its next life reports, the first of its labels."""
    leaves_s: float | None = None
    """When its worker leaves, if it drains, in seconds of the monotonic clock."""

    def labels(self) -> list[str]:
        """Return its kind and its rack."""
        return [self.kind, "r1"]

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
    maintained: list[str] = field(default_factory=list)
    allowed: set[str] = field(default_factory=set)
    """Workers that the advisor lets run every step."""
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
        self.store = HttpServer(app=self._app(self.store_api.async_handle), bind="127.0.0.1:0")
        self.side_link = Link()
        """Carries the answers of the store's second address."""
        self.side_store = HttpServer(
            app=self._app(self.store_api.async_handle_side, link=self.side_link),
            bind="127.0.0.1:0",
        )
        """The same store at a second address, for processes that it turns away alone."""
        self.cloud = HttpServer(app=self._app(self._async_cloud), bind="127.0.0.1:0")

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
        config = {
            "version": version,
            "routes": queues,
            "services": [{"name": name, "standby": name == self.standby} for name in services],
            "limits": {"maxBodyBytes": 262144},
            "tenants": workspaces or [],
        }
        self.log.put("keyed.op", "config", msgspec.json.encode(config))

    def demand_wave(self, number: int, machines: list[str], *, max_down: int) -> None:
        """Ask for maintenance as the operator does."""
        wave = {"wave": number, "machines": machines, "durationS": 20, "maxCount": max_down}
        self.log.put("keyed.op", f"wave/{number}", msgspec.json.encode(wave))

    def wave_state(self, number: int) -> str:
        """Return what the system has told of a wave."""
        found = self.log.newest("keyed.status", 0).get(f"wave/{number}")
        return str(msgspec.json.decode(found[1])["state"]) if found else ""

    async def async_end_worker(self, machine: StandinMachine) -> None:
        """End a worker's life, without a word."""
        if machine.worker is not None:
            machine.worker.end_life()
        if machine.server is not None:
            await machine.server.close(finish_timeout_s=0.0)
        machine.worker = machine.server = None

    async def async_crash(self, machine: StandinMachine, *, away_s: float = CRASH_S) -> None:
        """End a worker's life without a word, and begin another on its machine after a while."""
        machine.state = "down"
        earlier = machine.worker if self.faults.keep_ids else None
        await self.async_end_worker(machine)
        assert self.nursery is not None
        self.nursery.start_soon(self._async_return, machine, away_s, earlier)

    async def async_drain(self, machine: StandinMachine, *, for_s: float) -> None:
        """Let a worker drain, and leave for good after a while."""
        machine.leaves_s = time.monotonic() + for_s
        await trio.sleep(for_s)
        machine.state = "down"
        await self.async_end_worker(machine)

    async def _async_boot(
        self, machine: StandinMachine, earlier: FleetWorker | None = None
    ) -> None:
        """Begin a worker's life; after an `earlier` one, under its id and at its address."""
        machine.state = "up"
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
        machine.server = HttpServer(app=self._app(async_handle), bind=address)
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
        present = {}
        for machine in self.machines.values():
            if machine.worker is not None:
                present[machine.worker.id] = {
                    "service": machine.worker.service,
                    "address": machine.worker.address,
                    "zone": "a",
                    "capacity": {"cpu": machine.worker.cpu, "memMb": 16000, "gpu": 0},
                    "labels": machine.labels(),
                    "machine": machine.name,
                    "born": machine.worker.born,
                    "sequence": turn,
                    **machine.report_draining(),
                }
        entries = {worker_id: msgspec.json.encode(entry) for worker_id, entry in present.items()}
        entries |= self.foreign_entries
        for worker_id in self.log.newest("keyed.servers", 0).keys() - entries.keys():
            self.log.put("keyed.servers", worker_id, b"")
        for worker_id, value in entries.items():
            self.log.put("keyed.servers", worker_id, value)

    def _app(self, handle: Handle, *, link: Link | None = None) -> App:
        async def async_app(scope: Message, receive: Receive, send: Send) -> None:
            if scope["type"] == "lifespan":
                return await async_run_lifespan(receive, send)
            request = parse_request(scope, receive)
            body = await request.async_body(limit_bytes=_BODY_BYTES)
            data = b"" if isinstance(body, Err) else body.ok_value
            answer = await handle(request, data)
            return await _async_respond(answer, receive, send, link or Link())

        return async_app

    async def _async_cloud(self, request: Request, body: bytes) -> Answer:
        decoded = msgspec.json.decode(body) if body else {}
        match request.path.rsplit("/", 1)[-1]:
            case "advise":
                return self._advise(decoded)
            case "machines":
                return self._list_machines()
            case "machine-move":
                return await self._async_take_away(decoded["machine"], decoded["pool"])
            case "machine-upkeep":
                machine = self.machines[decoded["machine"]]
                if machine.name not in self.maintained:
                    self.maintained.append(machine.name)
                    return await self._async_take_away(machine.name, machine.pool)
                return Answer()
        return Answer(status=404)

    def _advise(self, question: dict[str, Any]) -> Answer:
        rows = [
            [worker_id, make_ticket(question["step"], worker_id)]
            for worker_id in question["workers"]
            if worker_id in self.allowed
        ]
        return Answer(body={"allowed": rows, "validityMs": 3000})

    def _list_machines(self) -> Answer:
        rows = [
            {
                "machine": machine.name,
                "pool": machine.pool,
                "state": machine.state,
                "zone": "a",
                "labels": machine.labels(),
                "capacity": {"cpu": 8000, "memMb": 16000, "gpu": 0},
                "id": machine.worker.id if machine.worker else None,
            }
            for machine in self.machines.values()
        ]
        return Answer(body={"machines": rows, "nextPageToken": None})

    async def _async_take_away(self, name: str, pool: str) -> Answer:
        """End what runs on a machine, and bring it back in a pool after a while."""
        machine = self.machines[name]
        if machine.state != "up":
            return Answer(status=409, body={"reason": "busy"})
        machine.state = "moving"
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


async def _async_respond(answer: Answer, receive: Receive, send: Send, link: Link) -> None:
    """Send an answer over a link, until the caller closes its connection."""
    content = answer.body if isinstance(answer.body, bytes) else msgspec.json.encode(answer.body)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_async_cancel_at_disconnect, receive, nursery.cancel_scope)
        length = str(len(content)).encode()
        headers = [(b"content-type", b"application/json"), (b"content-length", length)]
        await send({"type": "http.response.start", "status": answer.status, "headers": headers})
        for place in range(0, len(content), PIECE_BYTES):
            piece = content[place : place + PIECE_BYTES]
            await link.async_pass(len(piece))
            await send({"type": "http.response.body", "body": piece, "more_body": True})
        await send({"type": "http.response.body", "body": b""})
        nursery.cancel_scope.cancel()


async def _async_cancel_at_disconnect(receive: Receive, scope: trio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
