"""State of one entry process; every event passes through its reducer."""

from __future__ import annotations

import logging
import uuid
from collections.abc import Callable
from typing import Any, TypeVar

from result import Err

from heatherkeel.core.models import Duplicate, Effect, LogRecord, Settled, Skipped
from heatherkeel.core.node import Event, LocalState, NodeState, reduce
from heatherkeel.core.state import FleetState
from heatherkeel.fleetlog.client import PlatformClient
from heatherkeel.fleetlog.follower import LogFollower
from heatherkeel.fleetlog.log_clock import LogClock
from heatherkeel.fleetlog.writer import LogWriter
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.helpers.timers import TimerService
from heatherkeel.membership.recent import RecentRecords
from heatherkeel.requests.events import FleetRestored
from heatherkeel.settings.models import EntrySettings
from heatherkeel.snapshots.models import SnapshotMarked, SnapshotVerified
from heatherkeel.snapshots.schedule import SnapshotPolicy
from heatherkeel.snapshots.store import SnapshotStore
from heatherkeel.snapshots.writer import SnapshotWriter

_LOGGER = logging.getLogger(__name__)

EffectT = TypeVar("EffectT", bound=Effect)


class Node:
    """The reducer state of one entry process, with its log reader, log writer and timers."""

    def __init__(self, *, settings: EntrySettings) -> None:
        self.settings = settings
        self.incarnation = uuid.uuid4().hex
        local = LocalState(
            instance=settings.instance.id,
            zone=settings.instance.zone,
            incarnation=self.incarnation,
        )
        self.state = NodeState(local=local)
        self.timers = TimerService()
        self.clock = LogClock()
        self.client = PlatformClient(
            address=settings.platform.address,
            instance=settings.instance.id,
            zone=settings.instance.zone,
            timeout_ms=settings.platform.request_timeout_ms,
        )
        self.writer = LogWriter(
            client=self.client,
            stream=settings.platform.stream,
            author=settings.instance.id,
            clock=self.clock,
            interval_ms=settings.platform.batch_interval_ms,
        )
        self.follower = LogFollower(
            client=self.client,
            stream=settings.platform.stream,
            clock=self.clock,
            wait_ms=settings.platform.poll_wait_ms,
            next_offset=lambda: self.state.fleet.next_offset,
            apply_record=self.apply_record,
            rebuild=self.async_rebuild,
        )
        self.store = SnapshotStore(client=self.client, stream=settings.platform.stream)
        self.snapshots = self._make_snapshot_writer()
        self.recent = RecentRecords()
        self.started_from_peer = False
        self.subscribers: dict[type[Effect], list[Callable[[Any], None]]] = {}
        self.subscribe(Settled, self.writer.settle)
        self.subscribe(Settled, self.snapshots.handle_settled)
        self.subscribe(Duplicate, self.writer.hear_duplicate)
        self.subscribe(SnapshotMarked, self.snapshots.handle_marked)
        self.subscribe(SnapshotVerified, self.snapshots.handle_verified)
        self.subscribe(Skipped, _log_skipped)

    def _make_snapshot_writer(self) -> SnapshotWriter:
        settings = self.settings.snapshots
        return SnapshotWriter(
            instance=self.settings.instance.id,
            incarnation=self.incarnation,
            state=lambda: self.state.fleet,
            log=self.writer,
            follower=self.follower,
            store=self.store,
            policy=SnapshotPolicy(
                interval_records=settings.interval_records,
                interval_ms=settings.interval_ms,
                overtake_ms=settings.overtake_ms,
            ),
        )

    def subscribe(self, effect_type: type[EffectT], subscriber: Callable[[EffectT], None]) -> None:
        """Call `subscriber` with every effect of exactly this type, not of its subclasses."""
        self.subscribers.setdefault(effect_type, []).append(subscriber)

    async def async_rebuild(self) -> bool:
        """Load a newer snapshot if the log can't continue the state; False if there is none."""
        loaded = await self.store.async_load_newest(above=self.state.fleet.next_offset)
        if isinstance(loaded, Err) or loaded.ok_value is None:
            return False
        self.restore(loaded.ok_value)
        return True

    def restore(self, fleet: FleetState) -> None:
        """Replace the state, unless the new one is older: an accepted record must not be undone."""
        if fleet.next_offset < self.state.fleet.next_offset:
            return
        self.state.fleet = fleet
        self.follower.forget_records()
        self.clock.update_from_record(fleet.now_ms)
        _LOGGER.info(
            "state restored", extra={"event": "state_restored", "next_offset": fleet.next_offset}
        )
        self.handle_event(FleetRestored(now_ms=monotonic_ms()))

    def apply_record(self, record: LogRecord) -> None:
        """Fold one record that was read from the log."""
        self.recent.add(record)
        self.handle_event(record)

    def apply_relayed_record(self, record: LogRecord) -> None:
        """Fold a record that a peer has read from the log and relayed."""
        self.follower.record_relayed(record)
        self.clock.update_from_record(record.at_ms)
        self.apply_record(record)

    def handle_event(self, event: Event) -> list[Effect]:
        """Reduce one event, pass its effects to their subscribers, and return all effects."""
        effects = reduce(self.state, event)
        for effect in effects:
            for subscriber in self.subscribers.get(type(effect), ()):
                subscriber(effect)
        return effects


def _log_skipped(effect: Skipped) -> None:
    extra = {"event": "record_skipped", "offset": effect.offset}
    _LOGGER.warning("record skipped: %s", effect.detail, extra=extra)
