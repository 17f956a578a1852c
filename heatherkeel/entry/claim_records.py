"""Writes claims of idempotency keys and the outcomes of their requests to the log."""

from __future__ import annotations

import logging

import trio
from result import Err

from heatherkeel.core.const import MAX_RECORD_LIFETIME_MS
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.requests.effects import ClaimRead, WriteClaim, WriteOutcome
from heatherkeel.requests.events import ClaimDecided, ClaimWriteFailed

from .const import OUTCOME_WRITE_TIMEOUT_S
from .node import Node

_LOGGER = logging.getLogger(__name__)


class ClaimRecords:
    """Carries out the effects that write claims and outcomes."""

    def __init__(self, *, node: Node) -> None:
        self.node = node
        self.nursery: trio.Nursery | None = None
        self.pending_writes = 0
        self.all_written = trio.Event()
        node.subscribe(WriteClaim, self._write_claim)
        node.subscribe(ClaimRead, self._decide)
        node.subscribe(WriteOutcome, self._write_outcome)

    def start(self, nursery: trio.Nursery) -> None:
        """Write in the background, in tasks of this nursery."""
        self.nursery = nursery

    def _write_claim(self, effect: WriteClaim) -> None:
        assert self.nursery is not None
        self.nursery.start_soon(self._async_write_claim, effect)

    async def _async_write_claim(self, effect: WriteClaim) -> None:
        outcome = await self.node.writer.async_write(
            effect.body, timeout_s=effect.timeout_ms / 1000, record_id=effect.record_id
        )
        if isinstance(outcome, Err):
            failed = ClaimWriteFailed(now_ms=monotonic_ms(), request_id=effect.request_id)
            self.node.handle_event(failed)

    def _decide(self, effect: ClaimRead) -> None:
        decided = ClaimDecided(
            now_ms=monotonic_ms(), request_id=effect.request_id, refusal=effect.refusal
        )
        self.node.handle_event(decided)

    def _write_outcome(self, effect: WriteOutcome) -> None:
        assert self.nursery is not None
        self.pending_writes += 1
        self.nursery.start_soon(self._async_write_outcome, effect)

    async def _async_write_outcome(self, effect: WriteOutcome) -> None:
        outcome = await self.node.writer.async_write(
            effect.body,
            timeout_s=OUTCOME_WRITE_TIMEOUT_S,
            record_id=effect.record_id,
            lifetime_ms=MAX_RECORD_LIFETIME_MS,
        )
        if isinstance(outcome, Err):
            extra = {"event": "outcome_not_written", "record_id": effect.record_id}
            _LOGGER.warning("outcome: %s", outcome.err_value, extra=extra)
        self.pending_writes -= 1
        if not self.pending_writes:
            self.all_written.set()
            self.all_written = trio.Event()

    async def async_finish(self, *, timeout_s: float) -> None:
        """Wait for the pending outcome writes; without them a retry gets the outcome `unknown`."""
        with trio.move_on_after(timeout_s):
            while self.pending_writes:
                await self.all_written.wait()
