"""What a pool's maintenance entry and its newest wave allow."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from operator import itemgetter

from heatherkeel.catalogue.models import MaintenanceEntry, StoredEntry
from heatherkeel.core.models import Effect, RecordMeta, Rejected, RejectReason
from heatherkeel.core.registry import follows_up
from heatherkeel.core.state import FleetState
from heatherkeel.pools.models import Instance, InstanceStatus

from .const import DEFAULT_RETURN_TIMEOUT_MS, MINUTE_MS, MINUTES_PER_DAY
from .models import Drain, Purpose, Wave, WaveFinished, WaveHalted


def maintenance_of_pools(state: FleetState) -> dict[str, tuple[MaintenanceEntry, StoredEntry]]:
    """Return the maintenance entry of each pool that has one; of several, the first by name."""
    found: dict[str, tuple[MaintenanceEntry, StoredEntry]] = {}
    for _, maintenance, stored in sorted(_maintenance_entries(state), key=itemgetter(0)):
        found.setdefault(maintenance.pool, (maintenance, stored))
    return found


def find_maintenance(state: FleetState, pool: str) -> tuple[MaintenanceEntry, StoredEntry] | None:
    """Return the pool's maintenance entry; if operators made several, the first by name."""
    found = [item for item in _maintenance_entries(state) if item[1].pool == pool]
    if not found:
        return None
    _, maintenance, stored = min(found, key=itemgetter(0))
    return maintenance, stored


def _maintenance_entries(
    state: FleetState,
) -> Iterator[tuple[str, MaintenanceEntry, StoredEntry]]:
    for name, stored in state.catalogue.entries.items():
        if isinstance(stored.entry, MaintenanceEntry):
            yield name, stored.entry, stored


def is_closed(maintenance: MaintenanceEntry, now_ms: int) -> bool:
    """Tell whether counter hours forbid a planned stop; they may span midnight (UTC)."""
    minute = now_ms // MINUTE_MS % MINUTES_PER_DAY
    start, end = maintenance.closed_from_minute, maintenance.closed_to_minute
    if start <= end:
        return start <= minute < end
    return minute >= start or minute < end


def return_timeout_ms(state: FleetState, pool: str) -> int:
    """Return how long a stopped instance of the pool has to come back."""
    found = find_maintenance(state, pool)
    if found is None:
        return DEFAULT_RETURN_TIMEOUT_MS
    return found[0].return_timeout_s * 1000


def planned_drains(state: FleetState, pool: str) -> list[Drain]:
    """Return the drains that took serving instances out of a pool; repairs took none."""
    return [
        drain
        for instance_id, drain in state.waves.drains.items()
        if state.pools.instances[instance_id].pool == pool and not drain.was_failed
    ]


def check_planned_stop(state: FleetState, pool: str) -> Rejected | None:
    """Refuse a planned stop in counter hours, or while the pool's wave is halted."""
    found = find_maintenance(state, pool)
    if found is None:
        return None
    maintenance, stored = found
    if is_closed(maintenance, state.now_ms):
        return Rejected(reason=RejectReason.OUTSIDE_HOURS, detail=pool)
    wave = state.waves.waves.get(pool)
    if wave is not None and is_halted(wave, stored):
        return Rejected(reason=RejectReason.WAVE_HALTED, detail=wave.halted_reason)
    return None


def is_halted(wave: Wave, stored: StoredEntry) -> bool:
    """Tell whether a wave is halted and no operator has edited its maintenance entry since."""
    return bool(wave.halted_reason) and stored.offset <= wave.halted_offset


def is_covered(instance: Instance, wave: Wave) -> bool:
    """Tell whether a wave still has to maintain an instance."""
    was_maintained = instance.maintained_offset >= wave.started_offset
    return not was_maintained and instance.status is not InstanceStatus.FAILED


def is_complete(state: FleetState, pool: str, wave: Wave) -> bool:
    """Tell whether a wave has nothing under way and nothing left to maintain."""
    members = (item for item in state.pools.instances.items() if item[1].pool == pool)
    return is_complete_for(state, wave, members)


def is_complete_for(state: FleetState, wave: Wave, members: Iterable[tuple[str, Instance]]) -> bool:
    """Tell whether a wave is complete, given the instances of its pool with their ids."""
    return not any(
        is_covered(instance, wave) or instance_id in state.waves.drains
        for instance_id, instance in members
    )


def next_number(state: FleetState, pool: str) -> int:
    """Return the number that a maintenance drain of the pool has to name now."""
    wave = state.waves.waves.get(pool)
    if wave is None:
        return 1
    return wave.number + 1 if is_complete(state, pool, wave) else wave.number


def enter_wave(state: FleetState, meta: RecordMeta, pool: str) -> None:
    """Count a maintenance drain in the pool's wave, opening a new one if the last is complete.

    It was admitted, so an operator has let a halted wave go on: the old reason holds no more.
    """
    wave = state.waves.waves.get(pool)
    number = next_number(state, pool)
    if wave is None or wave.number != number:
        found = find_maintenance(state, pool)
        wave = Wave(
            number=number,
            started_ms=meta.now_ms,
            started_offset=meta.offset,
            request=0 if found is None else found[0].wave_request,
        )
        state.waves.waves[pool] = wave
    wave.drained += 1
    wave.halted_reason = ""


def count_return(state: FleetState, meta: RecordMeta, pool: str, drain: Drain) -> list[Effect]:
    """Count an instance that came back, and say so when it was the wave's last one.

    A repair can be the last thing under way too. If only maintenance ended a wave, one whose last
    instance was repaired would stay open for ever.
    """
    wave = state.waves.waves.get(pool)
    if wave is not None and drain.purpose is Purpose.MAINTENANCE:
        wave.returned += 1
    return finish_wave(state, meta.offset, pool)


@follows_up
def finish_resumed_waves(state: FleetState, offset: int) -> list[Effect]:
    """Note the end of waves that an edit resumed with nothing left to maintain.

    No later record would end such a wave, and its operator would wait for it for ever.
    """
    if state.catalogue.changed_offset != offset:
        return []
    effects: list[Effect] = []
    for pool in sorted(state.waves.waves):
        effects += finish_wave(state, offset, pool)
    return effects


def finish_wave(state: FleetState, offset: int, pool: str) -> list[Effect]:
    """Note the end of a wave that has become complete, unless it is halted.

    The last instance can leave a wave in other ways than by its maintenance: it fails, is
    repaired, moves away or is terminated. Whoever decides those asks here, too. A halted wave is
    its operator's: shown as finished, its failures would look as if they had been dealt with.
    """
    wave = state.waves.waves.get(pool)
    if wave is None or wave.finished_ms or not is_complete(state, pool, wave):
        return []
    found = find_maintenance(state, pool)
    if found is not None and is_halted(wave, found[1]):
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

    Failures within a wave are correlated: what broke one instance, a bad image say, breaks the
    next one as well. Going on would take the pool down one instance at a time, each stop within
    the budget of its moment.
    """
    wave = state.waves.waves.get(pool)
    found = find_maintenance(state, pool)
    if wave is None or found is None or drain.purpose is not Purpose.MAINTENANCE:
        return finish_wave(state, meta.offset, pool)
    maintenance, stored = found
    if wave.failed_since_offset != stored.offset:
        wave.failed_since_offset = stored.offset
        wave.failed = 0
    wave.failed += 1
    if wave.failed < maintenance.max_failed_returns:
        return finish_wave(state, meta.offset, pool)
    wave.halted_offset = meta.offset
    wave.halted_reason = f"{wave.failed} instances of {pool} did not come back in this wave"
    halted = WaveHalted(pool=pool, wave=wave.number, reason=wave.halted_reason, offset=meta.offset)
    return [halted]
