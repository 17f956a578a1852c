"""Makes a folded fleet with workers, teams and jobs of mixed sizes, alike for every policy."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from time import perf_counter
from typing import Final

import heatherkeel.subjects  # noqa: F401
from heatherkeel.catalogue.models import EntryPut, PoolEntry, ServiceClass, TeamEntry
from heatherkeel.core.envelopes import encode, seal
from heatherkeel.core.models import LogRecord, RecordBody, Rejected, Settled
from heatherkeel.core.reducer import fold
from heatherkeel.core.state import FleetState
from heatherkeel.jobs.models import JobSpec, Resources
from heatherkeel.jobs.records import JobSubmit
from heatherkeel.pools.models import InstanceAdmit

CPUS: Final = 64
MEMORY_MIB: Final = 256 * 1024
WORKERS_PER_RACK: Final = 4
ACCELERATED_EVERY: Final = 5
ACCELERATORS: Final = 8
_OWNER: Final = "operator"


@dataclass(kw_only=True)
class MeasuredFold:
    """A state, and the time that folding took, by record kind."""

    state: FleetState = field(default_factory=FleetState)
    records: dict[str, int] = field(default_factory=dict)
    seconds: dict[str, float] = field(default_factory=dict)
    refused: int = 0

    def append(self, body: RecordBody) -> None:
        """Fold one record, counting refusals and the time."""
        offset = self.state.next_offset
        data = encode(seal(body, author="measure", now_ms=1_000, record_id=str(offset)))
        record = LogRecord(offset=offset, at_ms=1_000, data=data)
        started = perf_counter()
        effects = fold(self.state, record)
        elapsed = perf_counter() - started
        kind = type(body).__name__
        self.records[kind] = self.records.get(kind, 0) + 1
        self.seconds[kind] = self.seconds.get(kind, 0.0) + elapsed
        settled = effects[0]
        if isinstance(settled, Settled) and isinstance(settled.outcome, Rejected):
            self.refused += 1

    def microseconds(self, kind: str) -> float:
        """Return the mean time of one record of a kind."""
        return 1e6 * self.seconds.get(kind, 0.0) / max(1, self.records.get(kind, 0))


def make_fleet(*, workers: int, jobs: int, pools: int, teams: int, zones: int) -> MeasuredFold:
    """Return a fleet with all jobs queued; the same arguments give the same fleet."""
    rng = random.Random(1)
    measured = MeasuredFold()
    for number in range(pools):
        measured.append(_put(f"pool{number}", PoolEntry(owner=_OWNER, size=workers)))
    for number in range(teams):
        quota = TeamEntry(
            owner=_OWNER,
            cpu_quota=100_000,
            memory_quota_mib=1_000_000_000,
            accelerator_quota=100_000,
        )
        measured.append(_put(f"team{number}", quota))
    for number in range(workers):
        measured.append(_admit(number, pools=pools, zones=zones))
    for number in range(jobs):
        measured.append(_submit(rng, number, pools=pools, teams=teams))
    return measured


def _put(name: str, entry: PoolEntry | TeamEntry) -> EntryPut:
    return EntryPut(name=name, expected_version=0, team=_OWNER, entry=entry)


def _admit(number: int, *, pools: int, zones: int) -> InstanceAdmit:
    rack = number // WORKERS_PER_RACK
    return InstanceAdmit(
        instance=f"w{number}",
        boot_id="boot",
        zone=f"zone{rack % zones}",
        rack=f"rack{rack}",
        address="127.0.0.1:1",
        cpus=CPUS,
        memory_mib=MEMORY_MIB,
        accelerators=ACCELERATORS if number % ACCELERATED_EVERY == 0 else 0,
        pool=f"pool{number % pools}",
    )


def _submit(rng: random.Random, number: int, *, pools: int, teams: int) -> JobSubmit:
    team = f"team{rng.randrange(teams)}"
    accelerators = rng.choice([0, 0, 0, 0, 0, 0, 0, 1, 2, 4])
    spec = JobSpec(
        pool=f"pool{rng.randrange(pools)}",
        family=f"family{rng.randrange(5)}",
        service_class=rng.choices(list(ServiceClass), weights=[1, 2, 17])[0],
        size=Resources(
            cpu_millicores=rng.choice([500, 1_000, 4_000, 8_000, 16_000, 32_000]),
            memory_mib=rng.choice([1_024, 4_096, 16_384, 65_536, 131_072]),
            accelerators=accelerators,
        ),
        run_time_s=rng.choice([30, 600, 3_600]),
        idempotent=rng.random() < 0.5,
        checkpointable=rng.random() < 0.5,
    )
    return JobSubmit(job=f"{team}:job{number}", team=team, spec=spec)
