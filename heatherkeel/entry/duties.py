"""Periodic work of an entry process: lease, shares, drains, health and the instance list."""

from __future__ import annotations

import logging
from functools import partial

import trio
from result import Err, Ok

from heatherkeel.core.models import Rejected
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.membership.const import PAUSE_CHECK_INTERVAL_MS
from heatherkeel.membership.events import LeaseGranted, LeaseRefused, LeaseWanted
from heatherkeel.membership.models import EntryJoin, EntryLeave, EntryRenew
from heatherkeel.membership.pause import PauseDetector
from heatherkeel.pools.models import InstanceChanged
from heatherkeel.requests.limits import acknowledged_offset, is_acknowledgement_due

from .const import (
    ACKNOWLEDGE_INTERVAL_MS,
    COORDINATE_INTERVAL_MS,
    IDLE_INTERVAL_MS,
    LEAVE_TIMEOUT_S,
    OBSERVE_INTERVAL_MS,
    WRITE_TIMEOUT_S,
)
from .duties_acknowledge import Acknowledger, is_done_sending
from .duties_coordinate import Coordinator
from .duties_health import HealthObserver
from .duties_listing import InstanceListing
from .node import Node

_LOGGER = logging.getLogger(__name__)


class Duties:
    """Periodic work of one entry process."""

    def __init__(self, *, node: Node) -> None:
        self.node = node
        self.peer_address = ""
        """Address at which peers reach this process; set once the port is open."""
        self.joined = False
        self.leaving = False
        self.included_in_drains = trio.Event()
        """Set once drains wait for this process, because it has joined or a peer sponsors it."""
        self.listing = InstanceListing(node=node)
        self.acknowledger = Acknowledger(node=node)
        self.coordinator = Coordinator(node=node, listing=self.listing)
        self.observer = HealthObserver(node=node, listing=self.listing)
        self.pauses = PauseDetector(handle_event=node.handle_event)

    def start(self) -> None:
        """Register all periodic work with the timer service."""
        if self.node.state.local.peers.sponsorship is not None:
            self.included_in_drains.set()
        settings = self.node.settings
        self.node.timers.subscribe(
            name="lease",
            interval_ms=settings.routing.renew_interval_ms,
            callback=self.async_renew_lease,
        )
        self.node.subscribe(LeaseWanted, lambda _: self.node.timers.wake("lease"))
        self.node.timers.subscribe(
            name="pauses",
            interval_ms=PAUSE_CHECK_INTERVAL_MS,
            callback=self.pauses.async_check,
        )
        self.node.timers.subscribe(
            name="instances",
            interval_ms=settings.platform.instances_interval_ms,
            callback=self.listing.async_read,
        )
        self.node.timers.subscribe(
            name="observe", interval_ms=OBSERVE_INTERVAL_MS, callback=self.observer.async_observe
        )
        self.node.timers.subscribe(
            name="shares",
            interval_ms=ACKNOWLEDGE_INTERVAL_MS,
            callback=self.async_acknowledge_shares,
            idle_interval_ms=IDLE_INTERVAL_MS,
            is_idle=lambda: not is_acknowledgement_due(self.node.state),
        )
        # Polled rarely while there are no drains. Each step of a drain changes an instance, which
        # wakes both callbacks.
        for name, interval_ms, callback in (
            ("acknowledge", ACKNOWLEDGE_INTERVAL_MS, self.acknowledger.async_acknowledge),
            ("coordinate", COORDINATE_INTERVAL_MS, self.coordinator.async_coordinate),
        ):
            self.node.timers.subscribe(
                name=name,
                interval_ms=interval_ms,
                callback=callback,
                idle_interval_ms=IDLE_INTERVAL_MS,
                is_idle=self._has_no_drains,
            )
            self.node.subscribe(InstanceChanged, partial(self._wake, name))

    def _has_no_drains(self) -> bool:
        return not self.node.state.fleet.waves.drains

    def _wake(self, name: str, _: InstanceChanged) -> None:
        self.node.timers.wake(name)

    async def async_renew_lease(self) -> None:
        """Join the fleet, or renew the routing lease."""
        if self.leaving:
            return
        await self.node.follower.caught_up.wait()
        sent_ms = monotonic_ms()
        is_renewal = self.joined
        body = self._make_renewal() if self.joined else self._make_join()
        outcome = await self.node.writer.async_write(body, timeout_s=WRITE_TIMEOUT_S)
        match outcome:
            case Ok(settled):
                self.joined = not isinstance(settled.outcome, Rejected)
                self._report_lease(sent_ms)
                if self.joined:
                    self.included_in_drains.set()
                if is_renewal and not self.joined:
                    self.node.timers.wake("lease")
            case Err(failure):
                _LOGGER.warning("lease: %s", failure, extra={"event": "lease_not_renewed"})

    async def async_leave(self) -> None:
        """Release the lease and all shares, after the last response was sent.

        Drains in this availability zone wait for every process that may still send. A process
        that ends without leaving would block them until the platform lists its instance as
        terminated, which never happens if only the process restarts.
        """
        self.leaving = True
        if not self.joined or not is_done_sending(self.node.state):
            return
        body = EntryLeave(
            instance=self.node.settings.instance.id, incarnation=self.node.incarnation
        )
        await self.node.writer.async_write(body, timeout_s=LEAVE_TIMEOUT_S)

    def _report_lease(self, sent_ms: int) -> None:
        now_ms = monotonic_ms()
        if not self.joined:
            self.node.handle_event(LeaseRefused(now_ms=now_ms))
            return
        lease_ms = self.node.settings.routing.lease_ms
        self.node.handle_event(LeaseGranted(now_ms=now_ms, sent_ms=sent_ms, lease_ms=lease_ms))

    def _make_join(self) -> EntryJoin:
        settings = self.node.settings
        return EntryJoin(
            instance=settings.instance.id,
            incarnation=self.node.incarnation,
            zone=settings.instance.zone,
            peer_address=self.peer_address,
            lease_ms=settings.routing.lease_ms,
        )

    def _make_renewal(self) -> EntryRenew:
        return EntryRenew(
            instance=self.node.settings.instance.id,
            incarnation=self.node.incarnation,
            offset_in_force=self.node.state.fleet.next_offset - 1,
            shares_offset=acknowledged_offset(self.node.state),
        )

    async def async_acknowledge_shares(self) -> None:
        """Renew immediately if peers can't raise their shares before this process acknowledges."""
        if is_acknowledgement_due(self.node.state):
            await self.async_renew_lease()
