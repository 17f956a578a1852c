"""Rules of a pool's maintenance entry, and the state of its newest wave."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from operator import itemgetter

from heatherkeel.catalogue.models import MaintenanceEntry
from heatherkeel.core.models import Effect, RecordMeta, Rejected, RejectReason
from heatherkeel.core.registry import follows_up
from heatherkeel.core.state import FleetState
from heatherkeel.pools.models import Instance, InstanceStatus

from .const import DEFAULT_RETURN_TIMEOUT_MS, MINUTE_MS, MINUTES_PER_DAY
from .models import Drain, Purpose, Wave, WaveFinished, WaveHalted


@dataclass(kw_only=True, slots=True)
class PoolMaintenance:
    """The maintenance entry that applies to a pool, and the offset of its newest edit."""

    entry: MaintenanceEntry
    edited_offset: int


def maintenance_of_pools(state: FleetState) -> dict[str, PoolMaintenance]:
    """Return the maintenance of each pool; of several entries, the first by name applies."""
    found: dict[str, PoolMaintenance] = {}
    for _, entry, edited_offset in sorted(_maintenance_entries(state), key=itemgetter(0)):
        if entry.pool not in found:
            found[entry.pool] = PoolMaintenance(entry=entry, edited_offset=edited_offset)
    return found


def find_maintenance(state: FleetState, pool: str) -> PoolMaintenance | None:
    """Return the maintenance of a pool; of several entries, the first by name applies."""
    found = [item for item in _maintenance_entries(state) if item[1].pool == pool]
    if not found:
        return None
    _, entry, edited_offset = min(found, key=itemgetter(0))
    return PoolMaintenance(entry=entry, edited_offset=edited_offset)


def _maintenance_entries(state: FleetState) -> Iterator[tuple[str, MaintenanceEntry, int]]:
    """Yield name, entry and offset of the newest edit, as tuples for speed."""
    for name, stored in state.catalogue.entries.items():
        if isinstance(stored.entry, MaintenanceEntry):
            yield name, stored.entry, stored.offset


def is_closed(maintenance: MaintenanceEntry, now_ms: int) -> bool:
    """Return whether counter hours forbid a planned stop; they may span midnight (UTC)."""
    minute = now_ms // MINUTE_MS % MINUTES_PER_DAY
    start, end = maintenance.closed_from_minute, maintenance.closed_to_minute
    if start <= end:
        return start <= minute < end
    return minute >= start or minute < end


def return_timeout_ms(state: FleetState, pool: str) -> int:
    """Return the time within which a stopped instance of the pool has to come back."""
    maintenance = find_maintenance(state, pool)
    if maintenance is None:
        return DEFAULT_RETURN_TIMEOUT_MS
    return maintenance.entry.return_timeout_s * 1000


def planned_drains(state: FleetState, pool: str) -> list[Drain]:
    """Return the drains that took serving instances of a pool out of service; not repairs."""
    return [
        drain
        for instance_id, drain in state.waves.drains.items()
        if state.pools.instances[instance_id].pool == pool and not drain.was_failed
    ]


def check_planned_stop(state: FleetState, pool: str) -> Rejected | None:
    """Refuse a planned stop in counter hours, or while the pool's wave is halted."""
    maintenance = find_maintenance(state, pool)
    if maintenance is None:
        return None
    if is_closed(maintenance.entry, state.now_ms):
        return Rejected(reason=RejectReason.OUTSIDE_HOURS, detail=pool)
    wave = state.waves.waves.get(pool)
    if wave is not None and is_halted(wave, maintenance):
        return Rejected(reason=RejectReason.WAVE_HALTED, detail=wave.halted_reason)
    return None


def is_halted(wave: Wave, maintenance: PoolMaintenance) -> bool:
    """Return whether a wave is halted and its maintenance entry hasn't been edited since."""
    return bool(wave.halted_reason) and maintenance.edited_offset <= wave.halted_offset


def active_halt_reason(wave: Wave, maintenance: PoolMaintenance | None) -> str:
    """Return why a wave is halted now, empty if it isn't or an edit has resumed it.

    `Wave.halted_reason` is kept until the next drain. Shown after an edit, it would suggest that
    the edit had no effect.
    """
    if maintenance is None or not is_halted(wave, maintenance):
        return ""
    return wave.halted_reason


def needs_maintenance(instance: Instance, wave: Wave) -> bool:
    """Return whether a wave still has to maintain an instance."""
    was_maintained = instance.maintained_offset >= wave.started_offset
    return not was_maintained and instance.status is not InstanceStatus.FAILED


def is_complete(state: FleetState, pool: str, wave: Wave) -> bool:
    """Return whether a wave has no drains in progress and no instances left to maintain."""
    members = (item for item in state.pools.instances.items() if item[1].pool == pool)
    return is_complete_for(state, wave, members)


def is_complete_for(state: FleetState, wave: Wave, members: Iterable[tuple[str, Instance]]) -> bool:
    """Return whether a wave is complete, given the instances of its pool with their ids."""
    return not any(
        needs_maintenance(instance, wave) or instance_id in state.waves.drains
        for instance_id, instance in members
    )


def next_number(state: FleetState, pool: str) -> int:
    """Return the wave number that the next maintenance drain of the pool has to name."""
    wave = state.waves.waves.get(pool)
    if wave is None:
        return 1
    return wave.number + 1 if is_complete(state, pool, wave) else wave.number


def count_drain(state: FleetState, meta: RecordMeta, pool: str) -> None:
    """Count a maintenance drain in the pool's wave, starting a new one if the last is complete.

    An accepted drain implies that an operator has resumed a halted wave, so the reason is reset.
    """
    wave = state.waves.waves.get(pool)
    number = next_number(state, pool)
    if wave is None or wave.number != number:
        maintenance = find_maintenance(state, pool)
        wave = Wave(
            number=number,
            started_ms=meta.now_ms,
            started_offset=meta.offset,
            request=0 if maintenance is None else maintenance.entry.wave_request,
        )
        state.waves.waves[pool] = wave
    wave.drained += 1
    wave.halted_reason = ""


def count_return(state: FleetState, meta: RecordMeta, pool: str, drain: Drain) -> list[Effect]:
    """Count an instance that came back, and finish the wave if it was the last one.

    A repair can finish a wave too. Otherwise a wave whose last instance is repaired would never
    finish.
    """
    wave = state.waves.waves.get(pool)
    if wave is not None and drain.purpose is Purpose.MAINTENANCE:
        wave.returned += 1
    return finish_wave(state, meta.offset, pool)


@follows_up
def finish_resumed_waves(state: FleetState, offset: int) -> list[Effect]:
    """Finish the waves that an edit resumed with no instances left to maintain.

    No later record would finish such a wave.
    """
    if state.catalogue.changed_offset != offset:
        return []
    effects: list[Effect] = []
    for pool in sorted(state.waves.waves):
        effects += finish_wave(state, offset, pool)
    return effects


def finish_wave(state: FleetState, offset: int, pool: str) -> list[Effect]:
    """Finish a wave that has become complete, unless it is halted.

    The handlers of failures, repairs, moves and terminations call this too, since each can remove
    the last instance from a wave. A halted wave stays unfinished until an operator resumes it, so
    that its failures aren't overlooked.
    """
    wave = state.waves.waves.get(pool)
    if wave is None or wave.finished_ms or not is_complete(state, pool, wave):
        return []
    maintenance = find_maintenance(state, pool)
    if maintenance is not None and is_halted(wave, maintenance):
        return []
    wave.finished_ms = state.now_ms
    finished = WaveFinished(
        pool=pool,
        wave=wave.number,
        started_ms=wave.started_ms,
        finished_ms=wave.finished_ms,
        offset=offset,
    )
    return [finished]


def count_failed_return(
    state: FleetState, meta: RecordMeta, pool: str, drain: Drain
) -> list[Effect]:
    """Count an instance that didn't come back, and halt the wave when there are too many.

    Failures within a wave are often correlated, for example by a bad image. Without the halt, a
    wave could take down its pool one instance at a time, each stop within the budget.
    """
    wave = state.waves.waves.get(pool)
    maintenance = find_maintenance(state, pool)
    if wave is None or maintenance is None or drain.purpose is not Purpose.MAINTENANCE:
        return finish_wave(state, meta.offset, pool)
    if wave.failed_since_offset != maintenance.edited_offset:
        wave.failed_since_offset = maintenance.edited_offset
        wave.failed = 0
    wave.failed += 1
    if wave.failed < maintenance.entry.max_failed_returns:
        return finish_wave(state, meta.offset, pool)
    wave.halted_offset = meta.offset
    wave.halted_reason = f"{wave.failed} instances of {pool} did not come back in this wave"
    halted = WaveHalted(pool=pool, wave=wave.number, reason=wave.halted_reason, offset=meta.offset)
    return [halted]
