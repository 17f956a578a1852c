"""Proposes repairs of failed instances."""

from __future__ import annotations

from heatherkeel.core.state import FleetState
from heatherkeel.jobs.draining import tasks_heard
from heatherkeel.pools.models import InstanceStatus

from .const import MAX_FAILED_REPAIRS
from .models import DrainStart, Purpose
from .wave import is_halted, maintenance_of_pools


def plan_repairs(fleet: FleetState, *, coordinator: str) -> list[DrainStart]:
    """Return a repair for each failed instance of a pool with a maintenance entry.

    Instances with too many failed repairs and pools with a halted wave are left out: restarting
    them again would hide the cause from operators. So are instances with tasks of which the
    platform hears: observers that are cut off from an instance see it fail as well.
    """
    maintained = maintenance_of_pools(fleet)
    halted = {
        pool
        for pool, maintenance in maintained.items()
        if pool in fleet.waves.waves and is_halted(fleet.waves.waves[pool], maintenance)
    }
    repairable = maintained.keys() - halted
    return [
        DrainStart(
            instance=instance_id,
            expected_version=instance.version,
            coordinator=coordinator,
            purpose=Purpose.REPAIR,
        )
        for instance_id, instance in sorted(fleet.pools.instances.items())
        if instance.status is InstanceStatus.FAILED
        and instance.pool in repairable
        and instance.failed_repairs < MAX_FAILED_REPAIRS
        and not tasks_heard(fleet, instance_id)
    ]
