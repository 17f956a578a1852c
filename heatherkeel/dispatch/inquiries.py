"""An owner's queries to the list of machines and to the advisor."""

from __future__ import annotations

import logging

import trio
from result import Err, Ok

from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.platform.advice import Advisor, AdvisorClient
from heatherkeel.platform.machines import MachineClient

from .const import MACHINE_LIST_INTERVAL_MS
from .events import AdviceReceived, AskAdvice, IncarnationsListed
from .ports import OwnerPort

_LOGGER = logging.getLogger(__name__)


class OwnerQueries:
    """Queries the list of machines and the advisor for one owner."""

    def __init__(self, *, owner: OwnerPort) -> None:
        self.owner = owner
        settings = owner.settings
        self.machines = MachineClient(address=settings.machines.address, holder=settings.instance)
        self.advisor = AdvisorClient(address=settings.advisor)
        self.advice_lock = trio.Lock()

    async def close(self) -> None:
        """Close all connections."""
        await self.machines.close()
        await self.advisor.close()

    async def async_watch_machines(self) -> None:
        """Read the list of machines while any worker with tasks is unresponsive."""
        while True:
            await trio.sleep(MACHINE_LIST_INTERVAL_MS / 1000)
            unresponsive = [
                w for w in self.owner.state.workers.values() if w.is_unresponsive and w.runs
            ]
            if not unresponsive or not self.machines.caller.address:
                continue
            asked_ms = monotonic_ms()
            listed = await self.machines.async_list()
            if isinstance(listed, Err):
                _LOGGER.info(
                    "machines can't be listed; unresponsive workers stay until their leases expire",
                    extra={"event": "machines_unread", "detail": listed.err_value.detail},
                )
                continue
            machines = listed.ok_value
            alive = [m.worker_id for m in machines if m.is_up() and m.worker_id]
            now_ms, wall_ms = self.owner.times()
            self.owner.handle_event(
                IncarnationsListed(
                    now_ms=now_ms,
                    wall_ms=wall_ms,
                    worker_ids=frozenset(alive),
                    pools={m.name: "" if m.is_taken() else m.pool for m in machines},
                    asked_ms=asked_ms,
                )
            )

    async def async_ask_advice(self, effect: AskAdvice) -> None:
        """Ask the advisor, which handles one request of an instance at a time."""
        step, workers = effect.step, list(effect.worker_ids)
        terms = self.owner.state.find_terms(step.job)
        advisor = terms.advisor if terms else None
        timeout_s = (advisor or Advisor()).timeout_s(len(workers))
        async with self.advice_lock:
            asked_ms = monotonic_ms()
            advised = await self.advisor.async_advise(step.name(), workers, timeout_s=timeout_s)
        tickets, validity_ms = None, 0
        match advised:
            case Ok(advice):
                tickets, validity_ms = advice.tickets(), advice.validity_ms
            case Err(error):
                _LOGGER.warning(
                    "advice request failed",
                    extra={"event": "no_advice", "step": step.name(), "detail": error.detail},
                )
        now_ms, wall_ms = self.owner.times()
        self.owner.handle_event(
            AdviceReceived(
                now_ms=now_ms,
                wall_ms=wall_ms,
                step=step,
                worker_ids=effect.worker_ids,
                tickets=tickets,
                asked_ms=asked_ms,
                validity_ms=validity_ms,
            )
        )
