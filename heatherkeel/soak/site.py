"""The processes of one run: a platform, instances and workers, each behind links of its own."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import httpcore
import msgspec
import trio

from heatherkeel.platform.const import SETTINGS_VARIABLE
from heatherkeel.standins.job_calls import (
    PREFIX,
    SERVICE,
    SPARE_SERVICE,
    JobCaller,
    make_queue,
)
from heatherkeel.standins.settings_file import SettingsFile

from .bounds import ENTRY_TTL_S, HEARTBEAT_S, LONGEST_LEASE_S, MACHINE_LEASE_S
from .histories import Histories, WorkerHistory
from .proxy import Link
from .record import Change
from .supervisor import OWN_PROGRAM, START_TIMEOUT_S, Child, SoakError, Supervisor

MAX_FAILURES: Final = 4
PLATFORM: Final = "platform"
ZONES: Final = ("a", "b", "c")
CONTROL_TIMEOUT_S: Final = 5.0
DARK_S: Final = 5.0
"""How long a machine stays listed whose worker has gone dark, in seconds."""
NOTICE_S: Final = 0.1
"""The end of a process is noticed at most so late, in seconds."""
RESTART_S: Final = 0.4
"""How long a worker that has crashed by itself is away, in seconds."""
POLL_S: Final = 0.02


def make_prefix(version: int) -> str:
    """Return the queue that only one version of the configuration has."""
    return f"/only-{version}/"


@dataclass(kw_only=True, eq=False)
class SoakWorker:
    """A machine, the worker on it, and its links."""

    machine: str
    zone: str
    calls: Link
    """From the instances to the worker."""
    beats: Link
    """From the worker to the platform."""
    child: Child | None = None
    is_away: bool = False
    """The soak has ended it and will start it again."""

    def links(self) -> list[Link]:
        """Return its links."""
        return [self.calls, self.beats]

    def is_running(self) -> bool:
        """Return whether its process runs and isn't frozen."""
        return self.child is not None and self.child.is_alive() and not self.child.is_frozen


@dataclass(kw_only=True, eq=False)
class SoakInstance:
    """An instance and its links."""

    name: str
    zone: str
    file: Path
    """Its settings."""
    callers: Link
    store: Link
    cloud: Link
    child: Child | None = None
    links_port: int = 0
    """At which its peers reach it."""
    is_away: bool = False
    """The soak has ended it and will start it again."""

    def write_settings(self, *, port: int = 0, status_s: int = 120) -> None:
        """Write its settings file; with no port the system chooses one."""
        SettingsFile(
            name=self.name,
            zone=self.zone,
            store=self.store.address,
            cloud=self.cloud.address,
            internal_port=port,
            longest_lease_ms=round(1000 * LONGEST_LEASE_S),
            machine_lease_ms=round(1000 * MACHINE_LEASE_S),
            heartbeat_ms=round(1000 * HEARTBEAT_S),
            status_s=status_s,
        ).write(self.file)

    def links(self) -> list[Link]:
        """Return its links."""
        return [self.callers, self.store, self.cloud]

    def is_running(self) -> bool:
        """Return whether its process runs and isn't frozen."""
        return self.child is not None and self.child.is_alive() and not self.child.is_frozen


@dataclass(kw_only=True)
class SoakSite:
    """Starts, restarts and ends the processes."""

    folder: Path
    supervisor: Supervisor
    program: list[str] = field(default_factory=lambda: list(OWN_PROGRAM))
    """The program of the instances."""
    root: Path | None = None
    """Its working directory."""
    platform: Child | None = None
    control: str = ""
    store: str = ""
    cloud: str = ""
    workers: dict[str, SoakWorker] = field(default_factory=dict)
    instances: dict[str, SoakInstance] = field(default_factory=dict)
    histories: Histories = field(default_factory=Histories)
    changes: list[Change] = field(default_factory=list)
    """Versions of the configuration."""

    async def start(self, nursery: trio.Nursery, *, instances: int, workers: int) -> None:
        """Start everything, and wait until each instance answers callers."""
        self.nursery = nursery
        ttl = ["--entry-ttl-ms", str(round(1000 * ENTRY_TTL_S))]
        command = [*OWN_PROGRAM, "standin", "users-platform", "--bind", "127.0.0.1:0", *ttl]
        self.platform = self.supervisor.spawn(PLATFORM, command)
        listening = await self.platform.async_find_event("listening")
        self.control = listening["control"]
        self.store, self.cloud = listening["store"], listening["cloud"]
        await self.async_configure()
        async with trio.open_nursery() as starting:
            for number in range(workers):
                starting.start_soon(self._async_add_worker, f"m{number}", ZONES[number % 3])
            for number in range(instances):
                starting.start_soon(self._async_add_instance, f"edge-{number}", ZONES[number % 3])
        nursery.start_soon(self.histories.async_follow)
        nursery.start_soon(self._async_restart_crashed)
        for instance in self.instances.values():
            await self._async_wait_answers(instance)

    async def async_configure(self) -> None:
        """Write the next version of the configuration as the operator does.

        Beside the queue of the jobs it has one of its own, and no longer that of the last one.
        """
        version = len(self.changes) + 1
        prefixes = [PREFIX, make_prefix(version)]
        queues = [
            make_queue(max_failures=MAX_FAILURES, name=f"queue-{place}", prefix=prefix)
            for place, prefix in enumerate(prefixes)
        ]
        config = {"version": version, "routes": queues, "services": [SERVICE, SPARE_SERVICE]}
        await self.async_control("POST", "/configure", config)
        change = Change(at_s=time.time(), version=version, queues=frozenset(prefixes))
        self.changes.append(change)

    def list_prefixes(self) -> list[str]:
        """Return the queues that there were or are."""
        return [PREFIX, *(make_prefix(change.version) for change in self.changes[-3:])]

    async def async_control(self, method: str, path: str, body: Any = None) -> dict[str, Any]:
        """Call the platform's control port; raises `SoakError` if it doesn't answer."""
        response = await _async_call(method, self.control, path, body)
        if response.status != 200:
            raise SoakError(f"{method} {path}: {response.status} {response.content!r}")
        answer: dict[str, Any] = msgspec.json.decode(response.content or b"{}")
        return answer

    async def async_list_machine(self, worker: SoakWorker, state: str) -> None:
        """Let the platform list a machine as up or down."""
        row = {
            "machine": worker.machine,
            "pool": SERVICE,
            "zone": worker.zone,
            "rack": f"r-{worker.zone}",
            "state": state,
        }
        await self.async_control("POST", "/machine", row)

    async def async_start_worker(self, worker: SoakWorker) -> None:
        """Start a worker's process; it is reached by the address of its link."""
        await self.async_list_machine(worker, "up")
        command = [
            *(*OWN_PROGRAM, "standin", "worker", "--control", worker.beats.address),
            *("--machine", worker.machine, "--pool", SERVICE),
            *("--history", str(self.histories.workers[worker.machine].file)),
            *("--bind", "127.0.0.1:0", "--announce", worker.calls.address),
        ]
        worker.child = self.supervisor.spawn(worker.machine, command)
        listening = await worker.child.async_find_event("listening")
        worker.calls.target = listening["http"]

    async def async_kill_worker(self, worker: SoakWorker, *, at_s: float = math.inf) -> None:
        """End a worker at once; the platform lists its machine as down.

        `at_s` is when it crashed, if it did so by itself.
        """
        if worker.child is None:
            return
        at_s = min(at_s, time.time())
        worker.child.kill()
        self.histories.workers[worker.machine].end_life(at_s)
        await self.async_list_machine(worker, "down")

    async def async_start_instance(
        self, instance: SoakInstance, *, keeps_address: bool = False
    ) -> None:
        """Start an instance's process; callers reach it by the address of its link."""
        instance.write_settings(port=instance.links_port if keeps_address else 0)
        env = {SETTINGS_VARIABLE: str(instance.file)}
        command = [*self.program, "instance"]
        instance.child = self.supervisor.spawn(instance.name, command, root=self.root, env=env)
        started = await instance.child.async_find_event("start")
        instance.callers.target = started["callers"]
        instance.links_port = int(started["links"].rpartition(":")[2])

    async def async_tell_worker(self, worker: SoakWorker, path: str, body: Any) -> bool:
        """Tell a worker's process something, beside its links; returns whether it heard."""
        try:
            response = await _async_call("POST", worker.calls.target, path, body)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return False
        return response.status == 200

    def heal_all(self) -> None:
        """End all faults of links."""
        for worker in self.workers.values():
            for link in worker.links():
                link.heal()
        for instance in self.instances.values():
            for link in instance.links():
                link.heal()

    async def _async_open_link(self, name: str, target: str = "") -> Link:
        link = Link(name=name, target=target)
        await link.start(self.nursery)
        return link

    async def _async_add_worker(self, machine: str, zone: str) -> None:
        worker = SoakWorker(
            machine=machine,
            zone=zone,
            calls=await self._async_open_link(f"calls of {machine}"),
            beats=await self._async_open_link(f"beats of {machine}", self.control),
        )
        file = self.folder / f"{machine}.history"
        self.histories.workers[machine] = WorkerHistory(machine=machine, file=file)
        await self.async_start_worker(worker)
        self.workers[machine] = worker

    async def _async_add_instance(self, name: str, zone: str) -> None:
        instance = SoakInstance(
            name=name,
            zone=zone,
            file=self.folder / f"{name}.toml",
            callers=await self._async_open_link(f"callers of {name}"),
            store=await self._async_open_link(f"store of {name}", self.store),
            cloud=await self._async_open_link(f"cloud of {name}", self.cloud),
        )
        await self.async_start_instance(instance)
        self.instances[name] = instance

    async def _async_wait_answers(self, instance: SoakInstance) -> None:
        caller = JobCaller(address=instance.callers.address, timeout_s=2.0)
        with trio.move_on_after(START_TIMEOUT_S):
            while (await caller.async_count_pending(PREFIX)).status != 200:
                await trio.sleep(POLL_S)
            await caller.close()
            return
        raise SoakError(f"{instance.name} doesn't serve within {START_TIMEOUT_S:.0f} s")

    async def _async_restart_crashed(self) -> None:
        """Start workers again that have crashed by themselves, as their machines do."""
        while True:
            for worker in self.workers.values():
                if worker.is_away or worker.child is None:
                    continue
                is_dark = self.histories.workers[worker.machine].is_dark()
                if is_dark or not worker.child.is_alive():
                    worker.is_away = True
                    self.nursery.start_soon(self._async_return, worker, is_dark)
            await trio.sleep(POLL_S)

    async def _async_return(self, worker: SoakWorker, is_dark: bool) -> None:
        if is_dark:
            # A machine that is dark is still listed: nobody has noticed yet.
            await trio.sleep(DARK_S)
        await self.async_kill_worker(worker, at_s=time.time() - NOTICE_S)
        await trio.sleep(RESTART_S)
        await self.async_start_worker(worker)
        worker.is_away = False


async def _async_call(method: str, address: str, path: str, body: Any) -> httpcore.Response:
    """Make one call of the soak's own, on a connection of its own."""
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), CONTROL_TIMEOUT_S)
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            method,
            f"http://{address}{path}",
            content=msgspec.json.encode(body) if body is not None else None,
            extensions={"timeout": timeout},
        )
