"""A small site for tests: stand-ins of the users' platform and real processes in one loop."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from typing import Any

import httpcore
import msgspec
import trio

from heatherkeel.instance.process import InstanceProcess
from heatherkeel.platform.settings import (
    Bounds,
    InstanceSettings,
    Limits,
    ListenAddresses,
    MachineSettings,
    StoreSettings,
)
from heatherkeel.standins.users_platform import UsersPlatform

HOST = "a.example"
QUEUE = {
    "name": "quotes",
    "host": HOST,
    "pathPrefix": "/q/",
    "service": "portal",
    "maxAttempts": 2,
    "slackFactor": 1.6,
    "targetLatencyMs": 600,
}
STEP = {"count": 2, "cpu": 1000, "memMb": 100, "estimatedMs": 100}
WAIT_S = 25.0
"""Longest wait for a condition, in seconds."""


def work_of(spec: str) -> float | None:
    """Return a task's duration from its spec: the last word is milliseconds or `lasts`."""
    duration = spec.rsplit(" ", 1)[-1]
    return None if duration == "lasts" else float(duration)


class Site:
    """Stand-ins, processes and a caller."""

    def __init__(self, *, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.platform = UsersPlatform(work_of=work_of)
        self.contracts: Sequence[str] = ()
        """Contracts in force for processes that name no others."""
        self.store_limits = StoreSettings(address="", partitions=3)
        """What processes are told of the store, but for its address."""
        self.processes: list[InstanceProcess] = []
        self.scopes: list[trio.CancelScope] = []
        self.http = httpcore.AsyncConnectionPool(retries=0)

    async def start(
        self,
        *,
        processes: int,
        machines: int = 2,
        spares: int = 0,
        contracts: Sequence[str] = (),
    ) -> None:
        """Start the stand-ins and processes, and wait until all processes are ready."""
        self.contracts = contracts
        await self.platform.start(self.nursery)
        for number in range(machines):
            await self.platform.async_add_machine(f"m{number}", "portal")
        for number in range(spares):
            await self.platform.async_add_machine(f"s{number}", "spare")
        self.platform.configure(1, [QUEUE], ["portal", "spare"])
        for _ in range(processes):
            await self.async_add_process()

    async def async_add_process(
        self,
        *,
        is_ready: bool = True,
        store_address: str = "",
        core_share: float = 1.0,
        internal_port: int = 0,
        seeds: Sequence[str] = (),
        contracts: Sequence[str] | None = None,
    ) -> InstanceProcess:
        """Start a process and wait until it has a configuration, and by default is ready."""
        settings = InstanceSettings(
            instance=f"edge-{len(self.processes)}",
            ip="127.0.0.1",
            zone="a",
            internal_ports=(internal_port, internal_port),
            seeds=list(seeds),
            listen=ListenAddresses(callers="127.0.0.1:0", readiness="127.0.0.1:0"),
            limits=Limits(core_share=core_share),
            bounds=Bounds(longest_lease_ms=6000, machine_lease_ms=300),
            store=msgspec.structs.replace(
                self.store_limits, address=store_address or self.platform.store.address
            ),
            machines=MachineSettings(address=self.platform.cloud.address),
            advisor=self.platform.cloud.address,
            contracts=list(self.contracts if contracts is None else contracts),
        )
        process = InstanceProcess(settings=settings)
        scope = trio.CancelScope()
        self.processes.append(process)
        self.scopes.append(scope)
        await self.nursery.start(self._async_run, process, scope)
        await self.async_wait(lambda: process.directory.state.config is not None)
        if is_ready:
            await self.async_wait(process.status.is_ready)
        return process

    async def _async_run(
        self,
        process: InstanceProcess,
        scope: trio.CancelScope,
        task_status: trio.TaskStatus[None],
    ) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                await process.start(nursery)
                task_status.started()
        process.links.close()

    def kill(self, process: InstanceProcess) -> None:
        """Kill a process without a shutdown."""
        self.scopes[self.processes.index(process)].cancel()

    def owner_of(self, service: str) -> InstanceProcess | None:
        """Return a process that owns a partition of a service."""
        for process, scope in zip(self.processes, self.scopes, strict=True):
            if scope.cancel_called:
                continue
            for owner in process.owners.values():
                partitions = owner.directory.state.layout.partitions_of(service)
                if owner.is_restored and owner.partition in partitions and owner.can_order():
                    return process
        return None

    async def async_find_owner(self, service: str) -> tuple[InstanceProcess, InstanceProcess]:
        """Wait until a service has an owner; return its process and another one."""
        await self.async_wait(lambda: self.owner_of(service) is not None)
        owner = self.owner_of(service)
        assert owner is not None
        return owner, next(process for process in self.processes if process is not owner)

    async def async_call(
        self,
        process: InstanceProcess,
        method: str,
        path: str,
        body: Any = None,
        *,
        key: str | None = None,
    ) -> tuple[int, dict[str, Any]]:
        """Call a process as a caller does and return status and body."""
        key_headers = [] if key is None else [("heatherkeel-key", key)]
        response = await self.http.request(
            method,
            f"http://{process.callers.address}{path}",
            headers=[("host", HOST), ("content-type", "application/json"), *key_headers],
            content=msgspec.json.encode(body) if body is not None else None,
        )
        # The HTTP library refuses oversized headers without a body.
        return response.status, msgspec.json.decode(response.content or b"{}")

    async def async_submit(
        self, process: InstanceProcess, job_id: str, spec: str, *steps: dict[str, Any]
    ) -> int:
        """Submit a job and return the status."""
        body = {"spec": spec, "steps": list(steps) or [STEP]}
        status, _ = await self.async_call(process, "POST", f"/q/{job_id}", body)
        return status

    async def async_state(self, process: InstanceProcess, job_id: str) -> str:
        """Return a job's state, or the status code of a refusal."""
        status, body = await self.async_call(process, "GET", f"/q/{job_id}")
        return str(body.get("state", status)) if status == 200 else str(status)

    async def async_wait_state(self, process: InstanceProcess, job_id: str, state: str) -> None:
        """Wait until a job has a state."""

        async def async_check() -> bool:
            return await self.async_state(process, job_id) == state

        await self.async_wait_for(async_check)

    async def async_wait(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""

        async def async_check() -> bool:
            return condition()

        await self.async_wait_for(async_check)

    async def async_wait_for(self, condition: Callable[[], Awaitable[bool]]) -> None:
        """Wait until an asynchronous condition holds."""
        with trio.fail_after(WAIT_S):
            while not await condition():
                await trio.sleep(0.02)

    def starts(self, job_id: str) -> list[tuple[str, int]]:
        """Return every start of a job's tasks that a worker executed."""
        return [
            start
            for worker in self.platform.everyone
            for start in worker.started
            if start[0].startswith(job_id)
        ]


@asynccontextmanager
async def open_site(**options: Any) -> AsyncIterator[Site]:
    """Run a site within a context; the options are those of `Site.start`."""
    async with trio.open_nursery() as nursery:
        site = Site(nursery=nursery)
        await site.start(**options)
        try:
            yield site
        finally:
            for process in site.processes:
                process.links.close()
            nursery.cancel_scope.cancel()
