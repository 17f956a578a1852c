"""Carries one wave out through the production fold, policy and coordinator.

The fakes stand at the interfaces only: a platform that reboots and reports, entry instances that
renew and acknowledge, an operator who lets a halted wave go on. They decide nothing else.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Final

from heatherkeel.core.models import RecordBody, Rejected, Violation
from heatherkeel.core.registry import find_step_violations, find_violations
from heatherkeel.core.state import FleetState, canonical_bytes, from_canonical_bytes
from heatherkeel.membership.models import EntryJoin, EntryRenew
from heatherkeel.pools.models import (
    Health,
    Instance,
    InstanceObserved,
    InstanceStatus,
    Source,
)
from heatherkeel.waves.coordinator import next_steps
from heatherkeel.waves.models import AckedDrain, DrainAck, DrainStart, Purpose, Returned, StopIssued
from heatherkeel.waves.policy import plan

from . import users
from .log import START_MS, MeasuredLog
from .users import Arrangement, Scenario, User

TICK_S: Final = 10
LEASE_MS: Final = 60_000
RENEW_TICKS: Final = 3
MAX_WAVE_S: Final = users.DAY_S
"""Longest time that a wave is watched."""

OPERATOR_DELAY_S: Final = 10 * users.MINUTE_S
"""How long an operator takes to look at a halted wave and let it go on."""

COORDINATOR: Final = "entry-b"


@dataclass(frozen=True, kw_only=True, slots=True)
class WaveResult:
    """What one wave cost; `roll_out_time_s` is None if it didn't end within a day.

    `moves` counts each time a serving instance was taken out of service by plan, or moved to
    another pool; a repair takes nothing out. `cancelled` drains were put back unmaintained.
    """

    roll_out_time_s: int | None
    moves: int
    cancelled: int
    refused: int
    violations: list[Violation]
    least_margin: int
    """Fewest instances that served above what their pool's services needed, at any time."""


@dataclass(kw_only=True)
class WaveRun:
    """One user's fleet in one scenario."""

    user: User
    arrangement: Arrangement
    scenario: Scenario
    workers: int = users.WORKERS
    seed: int = 1
    log: MeasuredLog = field(init=False)
    reboots: dict[str, float] = field(default_factory=dict)
    """When each stopped instance has its new boot, in seconds from the start."""
    halted_at_s: dict[str, float] = field(default_factory=dict)
    stops: int = 0
    moves: int = 0
    cancelled: int = 0
    refused: int = 0
    violations: list[Violation] = field(default_factory=list)
    least_margin: int = users.WORKERS

    def __post_init__(self) -> None:
        """Fold the catalogue, the entry instances and the workers."""
        start_of_day_ms = START_MS - START_MS % (users.DAY_S * 1000)
        self.start_ms = start_of_day_ms + self.user.start_minute * users.MINUTE_S * 1000
        self.log = MeasuredLog(start_ms=self.start_ms)
        self.source = random.Random(self.seed)
        self.never_back = {users.worker_name(number) for number in self.scenario.never_back}
        for body in users.catalogue(self.user, self.arrangement, workers=self.workers):
            self.log.must(body)
        for zone in users.ZONES:
            self.log.must(_join(zone))
        for admitted in users.workers_of(self.user, self.arrangement, workers=self.workers):
            self.log.must(admitted)

    @property
    def state(self) -> FleetState:
        """Return the folded state."""
        return self.log.state

    @property
    def at_s(self) -> float:
        """Return the seconds since the wave was asked for."""
        return (self.log.now_ms - self.start_ms) / 1000

    def run(self) -> WaveResult:
        """Ask for a wave of every pool, and let time pass until all are finished."""
        for pool in users.pools_of(self.arrangement):
            self._edit_maintenance(pool, request=1)
        while not self._is_finished() and self.at_s < MAX_WAVE_S:
            self._tick()
        return WaveResult(
            roll_out_time_s=int(self.at_s) if self._is_finished() else None,
            moves=self.moves,
            cancelled=self.cancelled,
            refused=self.refused,
            violations=self.violations,
            least_margin=self.least_margin,
        )

    def _is_finished(self) -> bool:
        waves = self.state.waves.waves
        pools = users.pools_of(self.arrangement)
        return all(pool in waves and waves[pool].finished_ms > 0 for pool in pools)

    def _tick(self) -> None:
        self.log.now_ms += TICK_S * 1000
        self._renew_leases()
        self._lose_and_restore()
        self._return_instances()
        for drain in plan(
            self.state,
            self.log.now_ms,
            coordinator=COORDINATOR,
            policy_name=self.arrangement.policy,
        ):
            self._propose(drain)
        self._acknowledge()
        for step in next_steps(self.state, self.log.now_ms, coordinator=COORDINATOR):
            self._propose(step)
        self._let_halted_waves_go_on()
        self._watch_budgets()

    def _propose(self, body: RecordBody) -> None:
        """Append a record with every checker of the promises before and after it."""
        before = from_canonical_bytes(canonical_bytes(self.state))
        settled, effects = self.log.say(body)
        self.violations += find_violations(self.state)
        self.violations += find_step_violations(before, effects, self.state)
        if isinstance(settled.outcome, Rejected):
            self.refused += 1
            return
        if isinstance(body, DrainStart):
            self.moves += body.purpose is not Purpose.REPAIR
        self.cancelled += settled.kind == "waves.drain_cancel"
        if isinstance(body, StopIssued):
            self._stop(body.instance)

    def _stop(self, instance_id: str) -> None:
        if instance_id in self.never_back:
            self.never_back.discard(instance_id)
            return
        factor = self.source.uniform(*self.scenario.reboot_factors)
        self.reboots[instance_id] = self.at_s + self.user.reboot_s * factor

    def _is_down(self, instance: Instance) -> bool:
        return users.is_lost(self.scenario, zone=instance.zone, rack=instance.rack, at_s=self.at_s)

    def _is_zone_down(self, zone: str) -> bool:
        return not self.scenario.lost_rack and users.is_lost(
            self.scenario, zone=zone, rack="", at_s=self.at_s
        )

    def _lose_and_restore(self) -> None:
        """Let the platform report what failed, and what runs again by itself."""
        for instance_id, instance in list(self.state.pools.instances.items()):
            if instance.status is InstanceStatus.SERVING and self._is_down(instance):
                self._propose(_failed(instance_id))
            elif self._is_restored(instance_id, instance):
                self._propose(self._returned(instance_id, instance))

    def _is_restored(self, instance_id: str, instance: Instance) -> bool:
        """Tell whether an instance that failed with its rack or zone runs again."""
        is_failed = instance.status is InstanceStatus.FAILED
        return is_failed and bool(self.scenario.lost_zone) and not self._is_down(instance)

    def _return_instances(self) -> None:
        for instance_id, ready_s in list(self.reboots.items()):
            instance = self.state.pools.instances[instance_id]
            if ready_s > self.at_s or self._is_down(instance):
                continue
            del self.reboots[instance_id]
            if instance.status in (InstanceStatus.STOPPED, InstanceStatus.FAILED):
                self._propose(self._returned(instance_id, instance))

    def _returned(self, instance_id: str, instance: Instance) -> Returned:
        name, _, boots = instance.boot_id.rpartition(".")
        return Returned(
            instance=instance_id,
            expected_version=instance.version,
            boot_id=f"{name}.{int(boots) + 1}",
        )

    def _renew_leases(self) -> None:
        if int(self.at_s) % (RENEW_TICKS * TICK_S):
            return
        for entry_id, entry in list(self.state.membership.entries.items()):
            if self._is_zone_down(entry.zone):
                continue
            renewal = EntryRenew(
                instance=entry_id,
                incarnation=entry.incarnation,
                offset_in_force=self.state.next_offset - 1,
            )
            self.log.must(renewal)

    def _acknowledge(self) -> None:
        for entry_id, entry in list(self.state.membership.entries.items()):
            if self._is_zone_down(entry.zone):
                continue
            waiting = [
                AckedDrain(instance=instance_id, drain=drain.id)
                for instance_id, drain in sorted(self.state.waves.drains.items())
                if entry.incarnation in drain.waiting
            ]
            if waiting:
                ack = DrainAck(
                    entry=entry_id, incarnation=entry.incarnation, instances=tuple(waiting)
                )
                self._propose(ack)

    def _let_halted_waves_go_on(self) -> None:
        for pool, wave in self.state.waves.waves.items():
            stored = self.state.catalogue.entries[f"{pool}-care"]
            if not wave.halted_reason or stored.offset > wave.halted_offset:
                self.halted_at_s.pop(pool, None)
                continue
            since_s = self.halted_at_s.setdefault(pool, self.at_s)
            if self.at_s - since_s >= OPERATOR_DELAY_S:
                self._edit_maintenance(pool, request=1)

    def _edit_maintenance(self, pool: str, *, request: int) -> None:
        name = f"{pool}-care"
        version = self.state.catalogue.entries[name].version
        entry = users.maintenance(self.user, pool, request=request)
        self.log.must(users.edit(name, entry, version=version))

    def _watch_budgets(self) -> None:
        """Count by hand what serves in each pool, apart from the code that decides."""
        need = users.need_of_pool(self.arrangement)
        for pool in users.pools_of(self.arrangement):
            serving = sum(
                instance.pool == pool and instance.status is InstanceStatus.SERVING
                for instance in self.state.pools.instances.values()
            )
            self.least_margin = min(self.least_margin, serving - need)
            if serving < need:
                detail = f"{serving} serving of {need} at {self.at_s:.0f} s"
                offset = self.state.next_offset - 1
                self.violations.append(
                    Violation(promise="budget", offset=offset, where=pool, detail=detail)
                )


def _join(zone: str) -> EntryJoin:
    return EntryJoin(
        instance=f"entry-{zone}",
        incarnation=f"entry-{zone}.1",
        zone=zone,
        peer_address="127.0.0.1:1",
        lease_ms=LEASE_MS,
    )


def _failed(instance_id: str) -> InstanceObserved:
    return InstanceObserved(
        instance=instance_id,
        health=Health.FAILED,
        observer=COORDINATOR,
        source=Source.PLATFORM,
    )
