"""Slopes of the folded state: bytes, encode and digest time, time to decode."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Iterator
from typing import Final, TypeVar

from heatherkeel.core.models import RecordBody
from heatherkeel.core.state import FleetState, canonical_bytes, digest, from_canonical_bytes
from heatherkeel.requests.models import Claim, ClaimsState, ClaimStatus, RecordedAnswer
from heatherkeel.waves.policy import plan

from . import design_size as size
from .fit import Slope, fit
from .log import START_MS, MeasuredLog

REPEATS: Final = 5
QUARTERS: Final = (1, 2, 3, 4)

ValueT = TypeVar("ValueT")
Parts = Callable[[int], Iterator[RecordBody]]


def quarters_of(largest: int) -> list[int]:
    """Return four sizes up to the largest."""
    return [largest * quarter // 4 for quarter in QUARTERS]


def build(records: Iterable[RecordBody]) -> MeasuredLog:
    """Fold records that have to be accepted."""
    log = MeasuredLog()
    for body in records:
        log.must(body)
    # Ids of records that could come again stand in the state for a while; they are counted on
    # their own and not with what the records made.
    log.state.seen.clear()
    return log


def measure_state() -> Iterator[Slope]:
    """Yield bytes of canonical state for one more of each part, then times of whole states."""
    yield _bytes_slope("worker", size.WORKERS, lambda n: (size.worker_record(i) for i in range(n)))
    yield _bytes_slope(
        "pool", size.POOLS, lambda n: (r for i in range(n) for r in size.pool_records(i, workers=0))
    )
    yield _bytes_slope("team", size.TEAMS, lambda n: (size.team_record(i) for i in range(n)))
    yield _bytes_slope(
        "entry instance", size.ENTRIES * 24, lambda n: (size.join_record(i) for i in range(n))
    )
    yield _seen_slope()
    yield _claims_slope()
    yield from _time_slopes()


def _bytes_slope(part: str, largest: int, records: Parts) -> Slope:
    sizes = quarters_of(largest)
    values = [len(canonical_bytes(build(records(count)).state)) for count in sizes]
    return fit("state bytes", unit="B", per=part, sizes=sizes, values=values)


def _seen_slope() -> Slope:
    sizes = quarters_of(4_000)
    values = []
    for count in sizes:
        state = FleetState(seen={f"{index:032x}": size.LEASE_MS for index in range(count)})
        values.append(len(canonical_bytes(state)))
    return fit("state bytes", unit="B", per="remembered id", sizes=sizes, values=values)


def _claims_slope() -> Slope:
    """Measure keys with an outcome whose answer is kept, of 192 bytes."""
    sizes = quarters_of(4_000)
    values = []
    for count in sizes:
        claims = {f"stock/key-{index:08d}": _claim(index) for index in range(count)}
        values.append(len(canonical_bytes(FleetState(claims=ClaimsState(claims=claims)))))
    return fit("state bytes", unit="B", per="claimed key", sizes=sizes, values=values)


def _claim(index: int) -> Claim:
    answer = RecordedAnswer(
        http_status=200,
        content_type="application/json",
        body="A" * 256,
        body_sha256=f"{index:064x}",
        body_bytes=192,
    )
    return Claim(
        claim=f"{index:032x}",
        fingerprint=f"{index:064x}",
        instance=size.entry_id(0),
        incarnation=f"{0:032x}",
        changed_ms=START_MS,
        offset=index,
        status=ClaimStatus.RAN,
        answer=answer,
    )


def _plan(state: FleetState) -> object:
    return plan(state, state.now_ms, coordinator=size.entry_id(0))


def _time_slopes() -> Iterator[Slope]:
    sizes = quarters_of(size.WORKERS)
    states = [build(size.fleet_records(workers=count)).state for count in sizes]
    steps: dict[str, Callable[[FleetState], object]] = {
        "canonical encoding": canonical_bytes,
        "canonical encoding and digest": digest,
        "planning with nothing due": _plan,
    }
    for name, step in steps.items():
        values = [_best_ms(step, state) for state in states]
        yield fit(name, unit="ms", per="worker", sizes=sizes, values=values)
    encoded = [canonical_bytes(state) for state in states]
    values = [_best_ms(from_canonical_bytes, data) for data in encoded]
    yield fit("decoding of a snapshot", unit="ms", per="worker", sizes=sizes, values=values)


def _best_ms(step: Callable[[ValueT], object], value: ValueT) -> float:
    """Return the shortest of some tries: other work on the machine only adds to it."""
    times = []
    for _ in range(REPEATS):
        start_ns = time.perf_counter_ns()
        step(value)
        times.append((time.perf_counter_ns() - start_ns) / 1e6)
    return min(times)
