"""Slopes of the fold: time for one record of each kind, in states of several sizes."""

from __future__ import annotations

import statistics
from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import Final

from heatherkeel.core.models import RecordBody
from heatherkeel.core.registry import KIND_OF_BODY
from heatherkeel.jobs.models import JobSpec, Resources
from heatherkeel.jobs.records import JobSubmit
from heatherkeel.membership.models import EntryRenew
from heatherkeel.pools.models import Health, InstanceObserved
from heatherkeel.requests.models import (
    ClaimOutcome,
    ClaimStatus,
    KeyClaim,
    RecordedAnswer,
    claim_name,
)
from heatherkeel.waves.models import (
    AckedDrain,
    DrainAck,
    DrainStart,
    Purpose,
    Returned,
    StopIssued,
)

from . import design_size as size
from .fit import Slope, fit
from .log import MeasuredLog
from .state_slopes import build, quarters_of

REPEATS: Final = 100
"""Records of each kind for one size. The lower quartile is taken: other work on the machine only
adds to the time, and a median taken beside it moved by a factor of two between runs."""

Exercise = Callable[[MeasuredLog], Iterator[RecordBody]]
EXERCISES: Final[list[Exercise]] = []


def exercise(records: Exercise) -> Exercise:
    """Register records to be timed; each is made when the one before it is folded."""
    EXERCISES.append(records)
    return records


def measure_fold() -> Iterator[Slope]:
    """Yield the fold's time for one record of each kind by workers in the state."""
    sizes = quarters_of(size.WORKERS)
    by_kind: dict[str, list[float]] = defaultdict(list)
    for count in sizes:
        log = build(size.fleet_records(workers=count))
        for records in EXERCISES:
            for kind, quartile_us in _time_records(log, records).items():
                by_kind[kind].append(quartile_us)
    for kind, values in sorted(by_kind.items()):
        yield fit(f"fold {kind}", unit="us", per="worker", sizes=sizes, values=values)


def _time_records(log: MeasuredLog, records: Exercise) -> dict[str, float]:
    times: dict[str, list[float]] = defaultdict(list)
    for body in records(log):
        log.must(body)
        times[KIND_OF_BODY[type(body)]].append(log.fold_us)
    return {kind: statistics.quantiles(values, n=4)[0] for kind, values in times.items()}


@exercise
def edits(log: MeasuredLog) -> Iterator[RecordBody]:
    """Edit teams' entries."""
    for index in range(REPEATS):
        name = f"team-{index:03d}"
        edit = size.team_record(index)
        version = log.state.catalogue.entries[name].version
        yield size.put(name, edit.entry, version=version)


@exercise
def renewals(log: MeasuredLog) -> Iterator[RecordBody]:
    """Renew routing leases."""
    for index in range(REPEATS):
        number = index % size.ENTRIES
        yield EntryRenew(
            instance=size.entry_id(number), incarnation=f"{number:032x}", offset_in_force=1
        )


@exercise
def observations(log: MeasuredLog) -> Iterator[RecordBody]:
    """Say of workers that they answer."""
    for index in range(REPEATS):
        yield InstanceObserved(
            instance=size.worker_id(index),
            health=Health.HEALTHY,
            observer=size.entry_id(index % size.ENTRIES),
        )


@exercise
def admissions(log: MeasuredLog) -> Iterator[RecordBody]:
    """Admit workers for a pool."""
    for index in range(REPEATS):
        body = size.worker_record(90_000 + index)
        yield body


@exercise
def maintenance(log: MeasuredLog) -> Iterator[RecordBody]:
    """Drain, acknowledge, stop and take back one worker of each pool."""
    for index in range(REPEATS):
        yield from _maintain(log, size.worker_id(index))


def _maintain(log: MeasuredLog, worker: str) -> Iterator[RecordBody]:
    instances = log.state.pools.instances
    yield DrainStart(
        instance=worker,
        expected_version=instances[worker].version,
        coordinator=size.entry_id(0),
        purpose=Purpose.MAINTENANCE,
        wave=1,
    )
    drain = log.state.waves.drains[worker].id
    for number in range(size.ENTRIES):
        acked = (AckedDrain(instance=worker, drain=drain),)
        entry, incarnation = size.entry_id(number), f"{number:032x}"
        yield DrainAck(entry=entry, incarnation=incarnation, instances=acked)
    yield StopIssued(
        instance=worker,
        expected_version=instances[worker].version,
        coordinator=size.entry_id(0),
    )
    yield Returned(
        instance=worker, expected_version=instances[worker].version, boot_id=f"{worker}-2"
    )


@exercise
def claims(log: MeasuredLog) -> Iterator[RecordBody]:
    """Claim keys and record their outcomes."""
    service = f"{size.pool_name(0)}-service"
    for index in range(REPEATS):
        key = f"key-{index:08d}"
        yield KeyClaim(
            service=service,
            key=key,
            fingerprint=f"{index:064x}",
            instance=size.entry_id(0),
            incarnation=f"{0:032x}",
        )
        claim = log.state.claims.claims[claim_name(service, key)].claim
        answer = RecordedAnswer(
            http_status=200,
            content_type="application/json",
            body="A" * 256,
            body_sha256=f"{index:064x}",
            body_bytes=192,
        )
        yield ClaimOutcome(
            service=service, key=key, claim=claim, status=ClaimStatus.RAN, answer=answer
        )


@exercise
def jobs(log: MeasuredLog) -> Iterator[RecordBody]:
    """Submit jobs."""
    for index in range(REPEATS):
        team = f"team-{index:03d}"
        needs = Resources(cpu_millicores=1_000, memory_mib=1_024)
        spec = JobSpec(pool=size.pool_name(0), size=needs)
        yield JobSubmit(job=f"{team}:job-{index}", team=team, spec=spec)


def measure_record_bytes() -> dict[str, float]:
    """Return the mean bytes of one record of each kind, as it goes into the log."""
    log = build(size.fleet_records(workers=size.WORKERS))
    sizes: dict[str, list[int]] = defaultdict(list)
    for records in EXERCISES:
        for body in records(log):
            log.must(body)
            sizes[KIND_OF_BODY[type(body)]].append(log.record_bytes)
    return {kind: round(statistics.mean(values), 1) for kind, values in sorted(sizes.items())}
