"""Fakes at the interfaces: entry instances that acknowledge, a platform that reboots.

They are no model of a network or of machines; they only say, tick by tick, the records that
the real ones would say, so that a trace needs to tell just what goes wrong.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from heatherkeel.core.envelopes import encode
from heatherkeel.core.models import Accepted, RecordBody
from heatherkeel.membership.models import EntryInstance, EntryRenew
from heatherkeel.pools.models import Health, InstanceObserved, InstanceStatus, Source
from heatherkeel.waves.coordinator import next_steps
from heatherkeel.waves.models import AckedDrain, DrainAck, Purpose, Returned, StopIssued
from heatherkeel.waves.policy import plan

from .const import PLATFORM_OBSERVER
from .folding import FoldingLog
from .models import Fakes


@dataclass(kw_only=True)
class FakeWorld:
    """What the fakes know besides the log; times in log milliseconds."""

    log: FoldingLog
    settings: Fakes
    cut_zones: set[str] = field(default_factory=set)
    down: set[str] = field(default_factory=set)
    back_at_ms: dict[str, int] = field(default_factory=dict)
    boots: int = 1
    stops: int = 0
    no_return_every: int = 0
    is_platform_down: bool = False
    append_ms: int = 0
    lost_answers: int = 0
    queue: list[tuple[int, str, RecordBody]] = field(default_factory=list)
    """Records on their way to a slow log: when they arrive, their author, their body."""
    held_plan: list[RecordBody] = field(default_factory=list)

    def tick(self) -> None:
        """Let everybody say what is due now, if the log can be reached."""
        if self.is_platform_down:
            return
        self._deliver()
        if self.queue:
            return
        for author, body in self._due():
            self._send(author, body)

    def _due(self) -> Iterator[tuple[str, RecordBody]]:
        """Yield what is due; each one sees what the ones before it did to the state."""
        yield from self._renewals()
        yield from self._observations()
        yield from self._returns()
        for body in self._plan():
            yield "coordinator", body
        yield from self._acknowledgements()
        for step in next_steps(self.log.state, self.log.now_ms, coordinator="coordinator"):
            yield "coordinator", step

    def _plan(self) -> list[RecordBody]:
        policy_name = self.settings.policy
        drains = plan(
            self.log.state, self.log.now_ms, coordinator="coordinator", policy_name=policy_name
        )
        return list(drains)

    def _send(self, author: str, body: RecordBody) -> None:
        if self.append_ms:
            self.queue.append((self.log.now_ms + self.append_ms, author, body))
        else:
            self._append(author, body)

    def _deliver(self) -> None:
        arrived = [item for item in self.queue if item[0] <= self.log.now_ms]
        self.queue = [item for item in self.queue if item[0] > self.log.now_ms]
        for _, author, body in arrived:
            self._append(author, body)

    def _append(self, author: str, body: RecordBody) -> None:
        data = encode(self.log.seal(body, author=author))
        outcome = self.log.append(data)
        if self.lost_answers:
            self.lost_answers -= 1
            self.log.append(data)
        if isinstance(body, StopIssued) and isinstance(outcome, Accepted):
            self._stop(body.instance)

    def _stop(self, instance_id: str) -> None:
        purpose = self.log.state.waves.drains[instance_id].purpose
        self.stops += purpose is Purpose.MAINTENANCE
        is_lost = purpose is Purpose.MAINTENANCE and self.no_return_every > 0
        if is_lost and self.stops % self.no_return_every == 0:
            return
        self.back_at_ms[instance_id] = self.log.now_ms + self.settings.reboot_ms

    def pause_coordinator(self) -> None:
        """Keep the present plan for later."""
        steps = next_steps(self.log.state, self.log.now_ms, coordinator="paused")
        self.held_plan = [*self._plan(), *steps]

    def wake_coordinator(self) -> None:
        """Say the kept plan, however old it is by now."""
        for body in self.held_plan:
            self._send("paused", body)
        self.held_plan = []

    def _reachable_entries(self) -> list[tuple[str, EntryInstance]]:
        entries = sorted(self.log.state.membership.entries.items())
        return [(key, entry) for key, entry in entries if entry.zone not in self.cut_zones]

    def _renewals(self) -> Iterator[tuple[str, RecordBody]]:
        for entry_id, entry in self._reachable_entries():
            is_newest = entry.offset_in_force >= self.log.state.catalogue.changed_offset
            if is_newest and entry.lease_until_ms - self.log.now_ms > entry.lease_ms // 2:
                continue
            body = EntryRenew(
                instance=entry_id,
                incarnation=entry.incarnation,
                offset_in_force=self.log.state.next_offset - 1,
            )
            yield entry_id, body

    def _observations(self) -> Iterator[tuple[str, RecordBody]]:
        entries = self._reachable_entries()
        for instance_id, instance in sorted(self.log.state.pools.instances.items()):
            is_serving = instance.status is InstanceStatus.SERVING
            if entries and is_serving and instance_id in self.down:
                body = InstanceObserved(
                    instance=instance_id,
                    health=Health.FAILED,
                    observer=entries[0][0],
                    source=Source.PLATFORM,
                )
                yield PLATFORM_OBSERVER, body

    def _returns(self) -> Iterator[tuple[str, RecordBody]]:
        for instance_id, at_ms in sorted(self.back_at_ms.items()):
            instance = self.log.state.pools.instances.get(instance_id)
            if at_ms > self.log.now_ms or instance_id in self.down or instance is None:
                continue
            del self.back_at_ms[instance_id]
            self.boots += 1
            boot_id = f"{instance_id}-boot-{self.boots}"
            body = Returned(
                instance=instance_id, expected_version=instance.version, boot_id=boot_id
            )
            yield PLATFORM_OBSERVER, body

    def _acknowledgements(self) -> Iterator[tuple[str, RecordBody]]:
        known_since_ms = self.log.now_ms - self.settings.ack_ms
        for entry_id, entry in self._reachable_entries():
            acked = tuple(
                AckedDrain(instance=instance_id, drain=drain.id)
                for instance_id, drain in sorted(self.log.state.waves.drains.items())
                if entry.incarnation in drain.waiting and drain.started_ms <= known_since_ms
            )
            if acked:
                body = DrainAck(entry=entry_id, incarnation=entry.incarnation, instances=acked)
                yield entry_id, body
