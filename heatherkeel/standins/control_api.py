"""The address at which the stand-in of the users' platform is told what is to happen."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, TypeVar

import msgspec
from result import Err, Ok, Result

from heatherkeel.helpers.asgi import Request

from .control_models import (
    Beat,
    BeginQuestion,
    Configuration,
    LifeOver,
    MachineChange,
    NamedService,
    Wave,
)
from .entries import ENTRIES_TOPIC
from .fault_changes import PLATFORM_FAULTS, decode_changes
from .faults import Faults
from .keyed_log import Answer, KeyedLog
from .operator_records import OPERATOR_TOPIC, demand_wave, read_wave_state, write_configuration
from .remote_machines import RemoteMachines
from .store_api import StoreApi

BodyT = TypeVar("BodyT", bound=msgspec.Struct)
Route = Callable[["ControlApi", Any], Answer]


@dataclass(frozen=True, kw_only=True, slots=True)
class PostRoute:
    """What a call's body must be, and who takes it."""

    body: type[msgspec.Struct]
    run: Route


POST_ROUTES: Final[dict[str, PostRoute]] = {}


def takes(path: str, body: type[BodyT]) -> Callable[[Route], Route]:
    """Register what a POST to a path does."""

    def register(run: Route) -> Route:
        POST_ROUTES[path] = PostRoute(body=body, run=run)
        return run

    return register


@dataclass(kw_only=True, slots=True)
class ControlApi:
    """Answers calls to the control address."""

    log: KeyedLog
    faults: Faults
    store: StoreApi
    machines: RemoteMachines

    async def async_handle(self, request: Request, body: bytes) -> Answer:
        """Answer one call; what isn't understood is refused with its fault."""
        if request.method == "GET":
            return self._show(request.path)
        if request.path == "/faults":
            return self._set_faults(body)
        route = POST_ROUTES.get(request.path)
        if route is None:
            return Answer(status=404, body={"error": f"no such call: {request.path}"})
        decoded = _decode(body, route.body)
        if isinstance(decoded, Err):
            return _refuse(decoded.err_value)
        return route.run(self, decoded.ok_value)

    def _show(self, path: str) -> Answer:
        match path.strip("/").split("/"):
            case ["wave", number] if number.isdecimal():
                return Answer(body={"state": read_wave_state(self.log, int(number))})
            case ["status"]:
                rows = [machine.make_row() for machine in self.machines.by_name.values()]
                counts = {"appends": self.store.appends, "reads": self.store.reads}
                return Answer(body={"machines": rows, **counts})
        return Answer(status=404, body={"error": f"no such call: {path}"})

    def _set_faults(self, body: bytes) -> Answer:
        """Set the faults that are named; the others stay as they are."""
        match decode_changes(body, self.faults, allowed=PLATFORM_FAULTS):
            case Err(fault):
                return _refuse(fault)
            case Ok(changes):
                changes.apply(self.faults)
                if changes.forget_history:
                    for topic in (ENTRIES_TOPIC, OPERATOR_TOPIC):
                        self.log.forget(topic, 0)
        return Answer()

    @takes("/machine", MachineChange)
    def _change_machine(self, change: MachineChange) -> Answer:
        self.machines.change(change)
        return Answer()

    @takes("/begin", BeginQuestion)
    def _begin(self, question: BeginQuestion) -> Answer:
        answer = self.machines.begin(question.machine, question.pool, is_boot=question.is_boot)
        return Answer(body=answer)

    @takes("/beat", Beat)
    def _beat(self, beat: Beat) -> Answer:
        if beat.machine not in self.machines.by_name:
            return _refuse(f"no such machine: {beat.machine}")
        return Answer(body=self.machines.beat(beat))

    @takes("/end", LifeOver)
    def _end(self, over: LifeOver) -> Answer:
        if over.machine not in self.machines.by_name:
            return _refuse(f"no such machine: {over.machine}")
        self.machines.end(over.machine, (over.id, over.born), is_leaving=over.is_leaving)
        return Answer()

    @takes("/configure", Configuration)
    def _configure(self, configuration: Configuration) -> Answer:
        for service in configuration.services:
            if isinstance(service, NamedService) and service.standby:
                self.machines.standby = service.name
        write_configuration(
            self.log,
            version=configuration.version,
            queues=configuration.routes,
            services=[_name(service) for service in configuration.services],
            standby=self.machines.standby,
            workspaces=configuration.workspaces,
        )
        return Answer()

    @takes("/wave", Wave)
    def _demand_wave(self, wave: Wave) -> Answer:
        demand_wave(
            self.log,
            wave.wave,
            wave.machines,
            max_down=wave.max_count,
            duration_s=wave.duration_s,
        )
        return Answer()


def _name(service: str | NamedService) -> str:
    return service if isinstance(service, str) else service.name


def _decode(body: bytes, kind: type[BodyT]) -> Result[BodyT, str]:
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except msgspec.DecodeError as err:
        return Err(str(err))


def _refuse(fault: str) -> Answer:
    return Answer(status=400, body={"error": fault})
