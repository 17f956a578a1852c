"""The users' machines' service: a list of machines, their moves and maintenance, and advice."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec

from heatherkeel.helpers.asgi import Request

from .keyed_log import Answer
from .worker_api import make_ticket

MACHINE_CPU: Final = 8000
"""The room of each machine, in thousandths of a core."""
MACHINE_MEMORY_MB: Final = 16_000
UP: Final = "up"
DOWN: Final = "down"
MOVING: Final = "moving"

TakeAway = Callable[[str, str], Awaitable[Answer]]
"""Ends what runs on a machine, and brings it back in a pool after a while."""


@dataclass(kw_only=True, slots=True)
class ListedMachine(ABC):
    """What the list tells of a machine."""

    name: str
    pool: str
    state: str = UP
    kind: str = "a"
    """The kind that its next life reports, the first of its labels."""
    zone: str = "a"
    rack: str = "r1"

    @abstractmethod
    def worker_id(self) -> str | None:
        """Return the id of the worker on it."""

    def labels(self) -> list[str]:
        """Return its kind and its rack."""
        return [self.kind, self.rack]

    def make_row(self) -> dict[str, Any]:
        """Return its row of the list."""
        return {
            "machine": self.name,
            "pool": self.pool,
            "state": self.state,
            "zone": self.zone,
            "labels": self.labels(),
            "capacity": make_capacity(MACHINE_CPU),
            "id": self.worker_id(),
        }


def make_capacity(cpu: int) -> dict[str, int]:
    """Return a room with so many thousandths of a core."""
    return {"cpu": cpu, "memMb": MACHINE_MEMORY_MB, "gpu": 0}


@dataclass(kw_only=True, slots=True)
class MachinesApi:
    """Answers calls to the machines' service and to the advisor."""

    machines: Mapping[str, ListedMachine]
    async_take_away: TakeAway
    maintained: list[str] = field(default_factory=list)
    allowed: set[str] = field(default_factory=set)
    """Workers that the advisor lets run every step."""

    async def async_handle(self, request: Request, body: bytes) -> Answer:
        """Answer one call."""
        decoded = msgspec.json.decode(body) if body else {}
        match request.path.rsplit("/", 1)[-1]:
            case "advise":
                return self._advise(decoded)
            case "machines":
                rows = [machine.make_row() for machine in self.machines.values()]
                return Answer(body={"machines": rows, "nextPageToken": None})
            case "machine-move":
                return await self._async_move(decoded["machine"], decoded["pool"])
            case "machine-upkeep":
                return await self._async_maintain(decoded["machine"])
        return Answer(status=404)

    async def _async_move(self, name: str, pool: str) -> Answer:
        """Move a machine, unless it is in the pool already."""
        machine = self.machines.get(name)
        if machine is None:
            return Answer(status=400)
        if machine.pool == pool and machine.state == UP:
            return Answer()
        return await self.async_take_away(name, pool)

    async def _async_maintain(self, name: str) -> Answer:
        """Maintain a machine once."""
        machine = self.machines.get(name)
        if machine is None:
            return Answer(status=400)
        if name in self.maintained:
            return Answer()
        answer = await self.async_take_away(name, machine.pool)
        if answer.status == 200:
            self.maintained.append(name)
        return answer

    def _advise(self, question: dict[str, Any]) -> Answer:
        rows = [
            [worker_id, make_ticket(question["step"], worker_id)]
            for worker_id in question["workers"]
            if worker_id in self.allowed
        ]
        return Answer(body={"allowed": rows, "validityMs": 3000})
