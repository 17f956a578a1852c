"""Holds the state of one entry process and carries every event through the reducer."""

from __future__ import annotations

import logging
import uuid
from collections.abc import Callable
from typing import Any, TypeVar

from heatherkeel.core.models import Effect, LogRecord, Settled, Skipped
from heatherkeel.core.node import Event, LocalState, NodeState, reduce
from heatherkeel.helpers.timers import TimerService
from heatherkeel.platform.client import PlatformClient
from heatherkeel.platform.follower import LogFollower
from heatherkeel.platform.log_clock import LogClock
from heatherkeel.platform.writer import LogWriter
from heatherkeel.settings.models import EntrySettings

_LOGGER = logging.getLogger(__name__)

EffectT = TypeVar("EffectT", bound=Effect)


class Node:
    """The parts of one entry process that decide, write and read."""

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
            take=self.take_record,
        )
        self.hearers: dict[type[Effect], list[Callable[[Any], None]]] = {}
        self.subscribe(Settled, self.writer.settle)
        self.subscribe(Skipped, _log_skipped)

    def subscribe(self, effect_type: type[EffectT], hearer: Callable[[EffectT], None]) -> None:
        """Call `hearer` with every effect of exactly this type."""
        self.hearers.setdefault(effect_type, []).append(hearer)

    def take_record(self, record: LogRecord) -> None:
        """Fold one record of the log."""
        self.take(record)

    def take(self, event: Event) -> list[Effect]:
        """Reduce one event, tell the effects to those who subscribed, and return them all."""
        effects = reduce(self.state, event)
        for effect in effects:
            for hearer in self.hearers.get(type(effect), ()):
                hearer(effect)
        return effects


def _log_skipped(effect: Skipped) -> None:
    extra = {"event": "record_skipped", "offset": effect.offset}
    _LOGGER.warning("record skipped: %s", effect.detail, extra=extra)
