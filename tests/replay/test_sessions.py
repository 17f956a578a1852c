"""Golden files of whole sessions: read them to see what the log decides, and when."""

from __future__ import annotations

from pathlib import Path

import msgspec
from result import Ok
from syrupy.assertion import SnapshotAssertion

from heatherkeel.core.models import Accepted, Effect, LogRecord, Rejected, Settled
from heatherkeel.core.reducer import fold
from heatherkeel.core.state import FleetState
from heatherkeel.pools.models import InstanceChanged
from heatherkeel.replay.fakes import FakeWorld
from heatherkeel.replay.folding import FoldingLog
from heatherkeel.replay.models import Event, Fakes
from heatherkeel.replay.replayer import Replayer
from heatherkeel.replay.trace import read_trace

TRACES = Path(__file__).parent.parent / "traces"
SETUP = ("membership.join", "pools.admit")


def _records(name: str) -> list[LogRecord]:
    match read_trace(TRACES / f"{name}.jsonl"):
        case Ok(events):
            return _run(events)
        case error:
            raise AssertionError(error)


def _run(events: list[Event]) -> list[LogRecord]:
    start_ms = events[0].at_ms
    log = FoldingLog(now_ms=start_ms, start_ms=start_ms)
    replayer = Replayer(log=log, world=FakeWorld(log=log, settings=Fakes(at_ms=start_ms)))
    for event in events:
        replayer.run_until(event.at_ms)
        replayer.take(event)
    return log.records


def _session(records: list[LogRecord], *, without: tuple[str, ...]) -> list[str]:
    """Return a line for each decision and each effect that matters to operators."""
    state = FleetState()
    lines: list[str] = []
    for record in records:
        at_s = (record.at_ms - records[0].at_ms) / 1000
        for effect in fold(state, record):
            if isinstance(effect, Settled) and effect.kind in without:
                continue
            if not isinstance(effect, InstanceChanged):
                lines.append(f"{at_s:6.1f} s  {_tell(record, effect)}")
    return lines


def _tell(record: LogRecord, effect: Effect) -> str:
    match effect:
        case Settled(outcome=Accepted(version=version)):
            return f"{_subject(record, effect)}: accepted, version {version}"
        case Settled(outcome=Rejected(reason=reason, detail=detail)):
            return f"{_subject(record, effect)}: {reason.value}, {detail}"
        case _:
            fields = {
                name: getattr(effect, name)
                for name in effect.__dataclass_fields__
                if name in ("instance", "incarnation", "pool", "wave", "name", "version")
            }
            words = ", ".join(f"{name} {value}" for name, value in fields.items())
            return f"-> {type(effect).__name__}: {words}"


def _subject(record: LogRecord, settled: Settled) -> str:
    body = msgspec.json.decode(record.data)["body"]
    where = body.get("name") or body.get("instance", "")
    return (
        f"{settled.kind} {where} by {settled.author}"
        if where
        else f"{settled.kind} by {settled.author}"
    )


def test_an_edit_from_its_author_to_in_force(snapshot: SnapshotAssertion) -> None:
    session = _session(_records("two-operators-race"), without=SETUP)
    assert session == snapshot


def test_one_wave(snapshot: SnapshotAssertion) -> None:
    session = _session(_records("ordinary-wave"), without=(*SETUP, "membership.renew"))
    assert session == snapshot
