"""Writes snapshots when they are due, and endorses those of others."""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio
from result import Err, Ok

from heatherkeel.core.errors import BrokenInvariantError
from heatherkeel.core.models import Rejected, RejectReason, Settled
from heatherkeel.core.state import FleetState
from heatherkeel.fleetlog.follower import LogFollower
from heatherkeel.fleetlog.writer import LogWriter

from . import codec, schedule
from .const import APPEND_PAUSE_S, ENDORSE_STEP_MS, FORMAT, VERDICT_WAIT_S
from .models import (
    ManifestRecord,
    MarkedSnapshot,
    RefusalRecord,
    SnapshotComplete,
    SnapshotMark,
    SnapshotMarked,
    SnapshotVerified,
)
from .schedule import SnapshotPolicy
from .store import SnapshotStore

_LOGGER = logging.getLogger(__name__)

WRITE_TIMEOUT_S = 10.0


class StateDivergedError(BrokenInvariantError):
    """The state of this process differs from that of other instances at the same offset."""


class SnapshotWriter:
    """Writes, endorses and refuses snapshots on behalf of one entry process."""

    def __init__(
        self,
        *,
        instance: str,
        incarnation: str,
        state: Callable[[], FleetState],
        log: LogWriter,
        follower: LogFollower,
        store: SnapshotStore,
        policy: SnapshotPolicy,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.state = state
        self.log = log
        self.follower = follower
        self.store = store
        self.policy = policy
        self.nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Start to handle the effects of the fold that concern snapshots."""
        self.nursery = nursery

    async def async_check(self) -> None:
        """Mark a snapshot if one is due and no other instance marks it first."""
        if not self._can_act() or not self._is_due():
            return
        newest_offset = self._newest_offset()
        await trio.sleep(schedule.jitter_ms(self.instance, newest_offset) / 1000)
        if self._newest_offset() != newest_offset or not self._is_due():
            return
        body = SnapshotMark(
            instance=self.instance, incarnation=self.incarnation, previous_offset=newest_offset
        )
        await self.log.async_write(body, timeout_s=WRITE_TIMEOUT_S)

    def handle_marked(self, effect: SnapshotMarked) -> None:
        """Write the state if this process is the author of the mark."""
        if self.nursery is not None and effect.mark.incarnation == self.incarnation:
            self.nursery.start_soon(self._async_write, effect)

    def handle_verified(self, effect: SnapshotVerified) -> None:
        """Endorse a verified snapshot, in the order of the endorsers."""
        if self.nursery is not None and self._can_act():
            self.nursery.start_soon(self._async_endorse, effect)

    def handle_settled(self, effect: Settled) -> None:
        """Refuse a claim that the fold rejected because of its digest."""
        if effect.kind != "snapshots.complete" or not isinstance(effect.outcome, Rejected):
            return
        wrong = effect.outcome.reason is RejectReason.CONFLICT
        newest = self.state().snapshots.newest
        if wrong and newest is not None and self.nursery is not None and self._can_act():
            self.nursery.start_soon(self._async_refuse, effect.author, newest)

    def _can_act(self) -> bool:
        """Return whether the fold has reached the end of the log; older marks need no action."""
        return self.follower.caught_up.is_set() and self.follower.reachable

    def _is_due(self) -> bool:
        now_ms = self.log.clock.now_ms()
        return schedule.is_due(
            self.state(), policy=self.policy, oldest=self.follower.oldest, now_ms=now_ms
        )

    def _newest_offset(self) -> int:
        newest = self.state().snapshots.newest
        return -1 if newest is None else newest.offset

    async def _async_write(self, effect: SnapshotMarked) -> None:
        """Append the chunks one by one, then claim the snapshot as complete."""
        offset = effect.mark.offset
        extra = {"event": "snapshot_marked", "offset": offset, "state_bytes": len(effect.state)}
        _LOGGER.info("writing a snapshot", extra=extra)
        chunk_offsets: list[int] = []
        for chunk in codec.split_into_chunks(codec.pack(effect.state), offset=offset):
            if self._newest_offset() != offset:
                return
            match await self.store.async_append(chunk):
                case Ok(chunk_offset):
                    chunk_offsets.append(chunk_offset)
                case Err(error):
                    extra = {"event": "snapshot_given_up", "offset": offset}
                    _LOGGER.warning("snapshot abandoned: %s", error.detail, extra=extra)
                    return
            await trio.sleep(APPEND_PAUSE_S)
        claim = SnapshotComplete(
            instance=self.instance,
            incarnation=self.incarnation,
            offset=offset,
            digest=effect.mark.digest,
            state_bytes=len(effect.state),
            chunk_offsets=chunk_offsets,
        )
        await self.log.async_write(claim, timeout_s=WRITE_TIMEOUT_S)

    async def _async_endorse(self, effect: SnapshotVerified) -> None:
        claim = effect.claim
        order = schedule.endorsers(self.state(), author=claim.instance, offset=claim.offset)
        if self.instance not in order:
            return
        await trio.sleep(order.index(self.instance) * ENDORSE_STEP_MS / 1000)
        if self._newest_offset() != claim.offset or await self._async_is_endorsed(claim):
            return
        manifest = ManifestRecord(
            format=FORMAT, claim=claim, at_ms=effect.mark.at_ms, endorser=self.instance
        )
        await self.store.async_append(manifest)
        extra = {"event": "snapshot_endorsed", "offset": claim.offset}
        _LOGGER.info("snapshot endorsed", extra=extra)

    async def _async_is_endorsed(self, claim: SnapshotComplete) -> bool:
        records = await self.store.async_records_from(claim.chunk_offsets[-1] + 1)
        return any(isinstance(item, ManifestRecord) and item.claim == claim for item in records)

    async def _async_refuse(self, author: str, found: MarkedSnapshot) -> None:
        """Refuse a claim, and check whether this process or the author has the wrong state.

        If more instances support the claim than refuse it, this process has the wrong state. It
        stops, and its replacement starts from their snapshot.
        """
        extra = {"event": "snapshot_refused", "offset": found.offset}
        _LOGGER.error("snapshot of %s has a different digest", author, extra=extra)
        order = schedule.endorsers(self.state(), author=author, offset=found.offset)
        if self.instance in order:
            refusal = RefusalRecord(
                offset=found.offset, digest=found.digest, instance=self.instance
            )
            await self.store.async_append(refusal)
        await trio.sleep(VERDICT_WAIT_S)
        if await self.store.async_is_outvoted(offset=found.offset, digest=found.digest):
            raise StateDivergedError(
                f"other instances agree on a different state at offset {found.offset}"
            )
