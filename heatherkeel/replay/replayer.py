"""Works through the events of a trace."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatchmethod
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from heatherkeel.core.envelopes import encode
from heatherkeel.core.models import Accepted, Rejected
from heatherkeel.core.registry import RECORD_KINDS
from heatherkeel.waves.wave import find_maintenance, is_halted

from .errors import TraceError
from .fakes import FakeWorld
from .folding import FoldingLog
from .models import (
    CoordinatorPaused,
    CoordinatorWoke,
    Event,
    ExpectEntry,
    ExpectInstance,
    ExpectWave,
    Fakes,
    Garbage,
    InstanceBack,
    InstanceFailed,
    NoReturn,
    PlatformDown,
    PlatformUp,
    RackFailed,
    ReaderBack,
    ReaderStopped,
    Record,
    ReplayReport,
    TraceEvent,
    ZoneCut,
    ZoneHealed,
)
from .trace import read_trace

STATED_OUTCOME = "stated_outcome"


def replay_file(path: Path) -> Result[ReplayReport, TraceError]:
    """Replay a trace from a file; a bad one is told by its line."""
    match read_trace(path):
        case Ok(events):
            return Ok(replay(events))
        case Err(error):
            return Err(error)


def replay(events: list[Event]) -> ReplayReport:
    """Replay checked events, in order."""
    start_ms = events[0].at_ms
    log = FoldingLog(now_ms=start_ms, start_ms=start_ms)
    replayer = Replayer(log=log, world=FakeWorld(log=log, settings=Fakes(at_ms=start_ms)))
    for event in events:
        replayer.run_until(event.at_ms)
        replayer.take(event)
    return log.finish()


@dataclass(kw_only=True)
class Replayer:
    """Lets the fakes act between events, and takes each event."""

    log: FoldingLog
    world: FakeWorld
    has_fakes: bool = False
    waiting: list[Record] = field(default_factory=list)
    """Records of the trace that came while the platform was down."""

    def run_until(self, at_ms: int) -> None:
        """Let log time pass; the fakes act at each tick before `at_ms`."""
        tick_ms = self.world.settings.tick_ms
        while self.has_fakes and self.log.now_ms + tick_ms <= at_ms:
            self.log.advance(self.log.now_ms + tick_ms)
            self.world.tick()
        self.log.advance(at_ms)

    @singledispatchmethod
    def take(self, event: TraceEvent) -> None:
        """Take one event; `end` does no more than let time pass."""

    @take.register
    def _(self, event: Record) -> None:
        if self.world.is_platform_down:
            self.waiting.append(event)
            return
        body = msgspec.convert(event.body, RECORD_KINDS[event.kind].body_type)
        data = encode(self.log.seal(body, author=event.author, record_id=event.id))
        outcome = self.log.append(data)
        for _ in range(event.copies - 1):
            self.log.append(data)
        found = _word(outcome)
        if event.expect is not None and found != event.expect:
            detail = f"{event.kind}: {found}, stated {event.expect}: {_detail(outcome)}"
            self.log.violate(STATED_OUTCOME, event.author, detail)

    @take.register
    def _(self, event: Garbage) -> None:
        self.log.append(event.text.encode())

    @take.register
    def _(self, event: Fakes) -> None:
        self.has_fakes = True
        self.world.settings = event

    @take.register
    def _(self, event: InstanceFailed) -> None:
        self.world.down.add(event.instance)

    @take.register
    def _(self, event: RackFailed) -> None:
        for instance_id, instance in self.log.state.pools.instances.items():
            if (instance.zone, instance.rack) == (event.zone, event.rack):
                self.world.down.add(instance_id)

    @take.register
    def _(self, event: InstanceBack) -> None:
        self.world.down.discard(event.instance)
        self.world.back_at_ms[event.instance] = event.at_ms

    @take.register
    def _(self, event: NoReturn) -> None:
        self.world.no_return_every = event.every
        self.world.stops = 0

    @take.register
    def _(self, event: ZoneCut) -> None:
        self.world.cut_zones.add(event.zone)

    @take.register
    def _(self, event: ZoneHealed) -> None:
        self.world.cut_zones.discard(event.zone)

    @take.register
    def _(self, event: PlatformDown) -> None:
        self.world.is_platform_down = True

    @take.register
    def _(self, event: PlatformUp) -> None:
        self.world.is_platform_down = False
        self.world.append_ms = event.append_ms
        self.world.lost_answers = event.lost_answers
        waiting, self.waiting = self.waiting, []
        for record in waiting:
            self.take(record)

    @take.register
    def _(self, event: CoordinatorPaused) -> None:
        self.world.pause_coordinator()

    @take.register
    def _(self, event: CoordinatorWoke) -> None:
        self.world.wake_coordinator()

    @take.register
    def _(self, event: ReaderStopped) -> None:
        self.log.stop_reader()

    @take.register
    def _(self, event: ReaderBack) -> None:
        self.log.resume_reader(event.retained)

    @take.register
    def _(self, event: ExpectInstance) -> None:
        instance = self.log.state.pools.instances.get(event.instance)
        if instance is None:
            self.log.violate(STATED_OUTCOME, event.instance, "is unknown")
            return
        if event.status not in (None, instance.status):
            self.log.violate(STATED_OUTCOME, event.instance, f"is {instance.status.value}")
        if event.pool not in (None, instance.pool):
            self.log.violate(STATED_OUTCOME, event.instance, f"is in pool {instance.pool!r}")

    @take.register
    def _(self, event: ExpectWave) -> None:
        wave = self.log.state.waves.waves.get(event.pool)
        maintenance = find_maintenance(self.log.state, event.pool)
        if wave is None or maintenance is None:
            self.log.violate(STATED_OUTCOME, event.pool, "has no wave")
            return
        halted = is_halted(wave, maintenance)
        stated = (event.number, event.halted, event.finished, event.returned)
        is_so = (wave.number, halted, wave.finished_ms > 0, wave.returned)
        for name, want, have in zip(_WAVE_FIELDS, stated, is_so, strict=True):
            if want is not None and want != have:
                self.log.violate(STATED_OUTCOME, event.pool, f"{name} is {have}, stated {want}")

    @take.register
    def _(self, event: ExpectEntry) -> None:
        stored = self.log.state.catalogue.entries.get(event.name)
        version = 0 if stored is None else stored.version
        if version != event.version:
            detail = f"version is {version}, stated {event.version}"
            self.log.violate(STATED_OUTCOME, event.name, detail)


_WAVE_FIELDS = ("number", "halted", "finished", "returned")


def _word(outcome: Accepted | Rejected | None) -> str:
    match outcome:
        case Accepted():
            return "accepted"
        case Rejected(reason=reason):
            return reason.value
        case None:
            return "not decided"


def _detail(outcome: Accepted | Rejected | None) -> str:
    return outcome.detail if isinstance(outcome, Rejected) else ""
