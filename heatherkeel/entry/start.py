"""Loads the initial state of an entry process."""

from __future__ import annotations

import logging

import trio
from result import Err, Ok

from heatherkeel.fleetlog.errors import PlatformError, PlatformFailure
from heatherkeel.helpers.backoff import Backoff
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.membership.links import PeerLinks

from .const import START_FIRST_DELAY_S, START_MAX_DELAY_S
from .node import Node

_LOGGER = logging.getLogger(__name__)


class NodeStart:
    """Starts from the newest complete snapshot, from the log's first record, or from a peer."""

    def __init__(self, *, node: Node, links: PeerLinks) -> None:
        self.node = node
        self.links = links
        self.done = trio.Event()
        self.backoff = Backoff(first_s=START_FIRST_DELAY_S, limit_s=START_MAX_DELAY_S)

    def start(self, nursery: trio.Nursery) -> None:
        """Start in the background; `done` is set when the state is ready."""
        nursery.start_soon(self._async_run, nursery)

    async def _async_run(self, nursery: trio.Nursery) -> None:
        while not await self._async_try_load():
            await trio.sleep(self.backoff.next_s())
        self.node.follower.start(nursery)
        if not self.node.started_from_peer:
            await self.node.follower.caught_up.wait()
        self.done.set()
        await self._async_keep_sponsor()

    async def _async_keep_sponsor(self) -> None:
        """Replace a lost sponsor, until the fold includes this process."""
        while self.node.state.local.peers.sponsorship is not None:
            await trio.sleep(self.backoff.next_s())
            sponsorship = self.node.state.local.peers.sponsorship
            if sponsorship is None or monotonic_ms() < sponsorship.until_ms:
                continue
            fleet = await self.links.async_fetch_state()
            if fleet is not None:
                self.node.restore(fleet)

    async def _async_try_load(self) -> bool:
        """Try to load a state; return whether the log can be followed from it."""
        loaded = await self.node.store.async_load_newest(above=0)
        if isinstance(loaded, Err):
            return await self._async_load_from_peer(loaded.err_value)
        if loaded.ok_value is None:
            return await self._async_has_first_record()
        self.node.restore(loaded.ok_value)
        return True

    async def _async_has_first_record(self) -> bool:
        """Return whether the log still has its first record, which is needed without a snapshot."""
        outcome = await self.node.client.async_read(
            self.node.settings.platform.stream, offset=0, max_records=1, wait_ms=0
        )
        if isinstance(outcome, Ok):
            return True
        if outcome.err_value.failure is PlatformFailure.OUT_OF_RETENTION:
            self._log_cannot_start(
                "no usable snapshot, and the log's first records are out of retention"
            )
        return False

    async def _async_load_from_peer(self, error: PlatformError) -> bool:
        """Load the state of a peer, which sponsors this process until it has joined."""
        fleet = await self.links.async_fetch_state()
        if fleet is None:
            self._log_cannot_start(
                f"the platform is unresponsive ({error.detail}), and no peer provided a state"
            )
            return False
        self.node.restore(fleet)
        self.node.started_from_peer = True
        return True

    def _log_cannot_start(self, reason: str) -> None:
        _LOGGER.error("can't start: %s", reason, extra={"event": "cannot_start"})
