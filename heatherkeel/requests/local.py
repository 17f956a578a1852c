"""What one entry instance knows of targets and of its own requests; never shared or kept."""

from __future__ import annotations

from dataclasses import dataclass, field

from heatherkeel.pools.models import Instance


@dataclass(kw_only=True)
class TargetView:
    """One target as this entry instance sees it; `in_progress` counts its own requests."""

    address: str
    zone: str
    pool: str
    in_progress: int = 0
    leaving: bool = False


@dataclass(kw_only=True)
class RoutingState:
    """Targets by instance id."""

    targets: dict[str, TargetView] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    """Instances that the platform lists as anything but live."""
    turn: int = 0

    def view_target(self, name: str, instance: Instance) -> TargetView:
        """Return the view of a target, made when it is first needed."""
        made = TargetView(address=instance.address, zone=instance.zone, pool=instance.pool)
        return self.targets.setdefault(name, made)
