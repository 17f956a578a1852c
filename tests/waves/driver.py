"""Runs waves with a policy against a log in memory."""

from __future__ import annotations

from dataclasses import dataclass, field

from heatherkeel.core.models import Rejected
from heatherkeel.membership.models import EntryRenew
from heatherkeel.pools.models import InstanceStatus
from heatherkeel.waves.const import DEFAULT_POLICY
from heatherkeel.waves.coordinator import next_steps
from heatherkeel.waves.models import Returned, StopIssued
from heatherkeel.waves.policy import plan
from tests.fleets import FoldedLog

TICK_MS = 1_000
RENEW_MS = 5_000


@dataclass(kw_only=True)
class WaveDriver:
    """Simulates a coordinator, entry instances that acknowledge at once, and a platform."""

    log: FoldedLog
    policy_name: str = DEFAULT_POLICY
    reboot_ms: int = 10_000
    unresponsive: set[str] = field(default_factory=set)
    lost: set[str] = field(default_factory=set)
    """Instances that don't come back after their stop."""
    returns_at_ms: dict[str, int] = field(default_factory=dict)
    refusals: list[Rejected] = field(default_factory=list)

    def tick(self) -> None:
        """Advance the time by one second and do everything that is due."""
        self.log.now_ms += TICK_MS
        self._renew_leases()
        self._return_instances()
        proposed = plan(
            self.log.state, self.log.now_ms, coordinator="entry-a", policy_name=self.policy_name
        )
        outcomes = [self.log.say(body) for body in proposed]
        self.refusals += [outcome for outcome in outcomes if isinstance(outcome, Rejected)]
        self._acknowledge()
        for step in next_steps(self.log.state, self.log.now_ms, coordinator="entry-a"):
            self.log.must(step)
            if isinstance(step, StopIssued) and step.instance not in self.lost:
                self.returns_at_ms[step.instance] = self.log.now_ms + self.reboot_ms

    def run(self, *, ticks: int) -> None:
        for _ in range(ticks):
            self.tick()

    def run_wave(self, pool: str, *, max_ticks: int = 2_000) -> int:
        """Run until the pool's wave is finished and return its time in log milliseconds."""
        for _ in range(max_ticks):
            self.tick()
            wave = self.log.state.waves.waves.get(pool)
            if wave is not None and wave.finished_ms:
                return wave.finished_ms - wave.started_ms
        raise AssertionError("the wave did not finish")

    def _renew_leases(self) -> None:
        for entry_id, entry in list(self.log.state.membership.entries.items()):
            if (
                entry_id not in self.unresponsive
                and entry.lease_until_ms < self.log.now_ms + RENEW_MS
            ):
                renewal = EntryRenew(
                    instance=entry_id,
                    incarnation=entry.incarnation,
                    offset_in_force=self.log.state.next_offset - 1,
                )
                self.log.must(renewal)

    def _return_instances(self) -> None:
        for instance_id, at_ms in list(self.returns_at_ms.items()):
            if at_ms > self.log.now_ms:
                continue
            del self.returns_at_ms[instance_id]
            instance = self.log.instance(instance_id)
            boot_id = f"{instance.boot_id}+"
            version = instance.version
            self.log.must(Returned(instance=instance_id, expected_version=version, boot_id=boot_id))

    def _acknowledge(self) -> None:
        for entry_id in self.log.state.membership.entries.keys() - self.unresponsive:
            waiting = sorted(
                instance_id
                for instance_id, drain in self.log.state.waves.drains.items()
                if entry_id in drain.waiting.values()
                and self.log.instance(instance_id).status is InstanceStatus.DRAINING
            )
            if waiting:
                self.log.must(self.log.ack(entry_id, *waiting))
