"""Reducer of the fleet's state: applies events and returns effects."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, Final, TypeVar

from heatherkeel.platform.errors import Failure

from .claims import Division, count_unknown, find_division
from .const import DEPARTED_WORKER_MS, LOAD_MAX_AGE_MS, ORDER_RETRY_MS, ORDER_SETTLE_MS
from .division_log import log_division, record_taking
from .handover import drop_needless
from .machine_lists import has_left, record_list
from .models import (
    DirectoryRead,
    FleetEffect,
    FleetEvent,
    FleetOwnerState,
    Intent,
    MachinesListed,
    OrderAnswered,
    OrderMachine,
    PlanDue,
    PoolShare,
    PoolShareView,
    PoolsMeasured,
    Purpose,
    SaveWave,
    WaveProgress,
)
from .moves import cancel_unreachable_moves, plan_moves
from .standby import cancel_unsent_standby_moves
from .status_log import log_pools
from .supply import Supply, measure_supply, record_peak
from .usage import record_usage
from .waves import plan_maintenance

_LOGGER = logging.getLogger(__name__)

EventT = TypeVar("EventT", bound=FleetEvent)
Handler = Callable[[FleetOwnerState, Any], list[FleetEffect]]
HANDLERS: Final[dict[type[FleetEvent], Handler]] = {}


def handles(
    kind: type[EventT],
) -> Callable[
    [Callable[[FleetOwnerState, EventT], list[FleetEffect]]],
    Callable[[FleetOwnerState, EventT], list[FleetEffect]],
]:
    """Register the handler of a kind of event."""

    def register(
        handler: Callable[[FleetOwnerState, EventT], list[FleetEffect]],
    ) -> Callable[[FleetOwnerState, EventT], list[FleetEffect]]:
        HANDLERS[kind] = handler
        return handler

    return register


def reduce_fleet(state: FleetOwnerState, event: FleetEvent) -> list[FleetEffect]:
    """Apply an event to the state; return the effects in order."""
    state.now_ms = max(state.now_ms, event.now_ms)
    return HANDLERS[type(event)](state, event)


@handles(DirectoryRead)
def apply_directory(state: FleetOwnerState, event: DirectoryRead) -> list[FleetEffect]:
    """Apply services, layout and waves; new waves are reported as in progress."""
    state.services = event.services
    state.layout = event.layout
    state.divides_machines = event.divides_machines
    effects: list[FleetEffect] = []
    for number, wave in event.waves.items():
        if number not in state.waves:
            state.waves[number] = WaveProgress(wave=wave, began_ms=state.now_ms)
            effects.append(SaveWave(progress=state.waves[number]))
            _LOGGER.info(
                "wave accepted",
                extra={
                    "event": "wave_taken",
                    "wave": number,
                    "machines": len(wave.machines),
                    "max_down": wave.max_down,
                },
            )
    return effects


@handles(PoolsMeasured)
def record_loads(state: FleetOwnerState, event: PoolsMeasured) -> list[FleetEffect]:
    """Record the loads of one partition's shares."""
    for load in event.loads:
        share = PoolShare(pool=load.service, partition=event.partition)
        view = state.views.get(share)
        if view is None:
            view = state.views[share] = PoolShareView(load=load, received_ms=state.now_ms)
        view.load = load
        view.received_ms = state.now_ms
        record_peak(state, share)
    return []


@handles(MachinesListed)
def apply_machine_list(state: FleetOwnerState, event: MachinesListed) -> list[FleetEffect]:
    """Apply the list of machines, and remove the intents that it shows to be finished."""
    record_list(state, event)
    for name, intent in list(state.intents.items()):
        if _is_finished(state, intent, event.sent_ms):
            del state.intents[name]
            state.record_departure(intent, until_ms=state.now_ms + DEPARTED_WORKER_MS)
    state.departed = {
        worker_id: departure
        for worker_id, departure in state.departed.items()
        if state.now_ms < departure.until_ms
    }
    return []


def _is_finished(state: FleetOwnerState, intent: Intent, sent_ms: int) -> bool:
    """Return whether the list requested at `sent_ms` shows that an intent is finished.

    An unanswered order may be carried out seconds later, so its machine stays reserved until the
    list shows the move or the order's settle time is over.
    """
    machine = state.machines.get(intent.machine)
    if machine is None:
        return has_left(state, intent.machine)
    if intent.ordered_ms is None:
        return not machine.is_up()
    if sent_ms <= intent.ordered_ms:
        return False
    if intent.is_confirmed:
        return machine.is_up()
    if state.now_ms - intent.ordered_ms > ORDER_SETTLE_MS:
        return True
    is_moved = intent.purpose is Purpose.MOVE and machine.pool == intent.pool
    return is_moved and machine.is_up()


@handles(OrderAnswered)
def handle_order_answer(state: FleetOwnerState, event: OrderAnswered) -> list[FleetEffect]:
    """Handle the answer to an order."""
    intent = state.intents.get(event.machine)
    if intent is None:
        return []
    if event.error is None:
        intent.is_confirmed = True
        intent.ordered_ms = state.now_ms
        if intent.purpose is Purpose.MOVE:
            state.moved_ms[intent.machine] = state.now_ms
        _LOGGER.info(
            "machine ordered away",
            extra={
                "event": "machine_ordered",
                "machine": intent.machine,
                "purpose": intent.purpose.value,
                "from_pool": intent.from_pool,
                "pool": intent.pool,
                "wave": intent.wave,
                "took_ms": state.now_ms - intent.began_ms,
            },
        )
        return _record_begun(state, intent)
    _LOGGER.warning(
        "order for a machine failed",
        extra={
            "event": "order_failed",
            "machine": intent.machine,
            "purpose": intent.purpose.value,
            "failure": event.error.failure.value,
            "detail": event.error.detail,
        },
    )
    if event.error.failure not in (Failure.UNKNOWN, Failure.REFUSED):
        del state.intents[event.machine]
    return []


def _record_begun(state: FleetOwnerState, intent: Intent) -> list[FleetEffect]:
    progress = state.waves.get(intent.wave)
    if intent.purpose is not Purpose.MAINTAIN or progress is None:
        return []
    progress.begun.add(intent.machine)
    return [SaveWave(progress=progress)]


@handles(PlanDue)
def plan(state: FleetOwnerState, event: PlanDue) -> list[FleetEffect]:
    """Plan moves and maintenance, and order the machines that are empty."""
    if not event.can_order:
        _cancel_unsent(state)
        return []
    if state.listed_ms is None:
        return []
    supply = measure_supply(state)
    has_canceled = cancel_unreachable_moves(state)
    if supply.shortfall:
        has_canceled |= cancel_unsent_standby_moves(state)
    if has_canceled:
        supply = measure_supply(state)
    record_usage(state)
    log_pools(state, supply)
    division = _divide(state, supply)
    maintained = plan_maintenance(state, has_shortfall=bool(supply.shortfall))
    for intent in maintained + plan_moves(state, supply, division):
        if intent.machine not in state.intents:
            state.intents[intent.machine] = intent
            record_taking(state, intent)
            _log_intent(intent)
    effects: list[FleetEffect] = []
    for intent in state.intents.values():
        if not intent.is_confirmed and _is_empty(state, intent) and _is_order_due(state, intent):
            if intent.ordered_ms is None:
                intent.first_ordered_ms = state.now_ms
            intent.ordered_ms = state.now_ms
            effects.append(OrderMachine(intent=intent))
    if state.divides_machines:
        log_division(state, division, unknown=count_unknown(state, supply))
    return effects + _complete_waves(state)


def _divide(state: FleetOwnerState, supply: Supply) -> Division | None:
    """Divide the machines if they don't suffice, and drop takings that are needless by now."""
    division = find_division(state, supply) if state.divides_machines else None
    state.is_divided = division is not None
    if division is None:
        state.short_since_ms = {}
        return None
    dropped = drop_needless(state, division)
    if not dropped:
        return division
    state.handovers.dropped += len(dropped)
    state.handovers.dropped_total += len(dropped)
    return find_division(state, measure_supply(state))


def _cancel_unsent(state: FleetOwnerState) -> None:
    """Cancel the intents whose orders weren't sent, so that their machines keep serving."""
    for name, intent in list(state.intents.items()):
        if intent.ordered_ms is None:
            del state.intents[name]


def _log_intent(intent: Intent) -> None:
    _LOGGER.info(
        "machine is to leave its pool",
        extra={
            "event": "machine_intent",
            "machine": intent.machine,
            "worker": intent.worker_id,
            "purpose": intent.purpose.value,
            "pool": intent.pool,
            "wave": intent.wave,
            "taken": intent.is_taken,
        },
    )


def _is_order_due(state: FleetOwnerState, intent: Intent) -> bool:
    if state.now_ms < state.blocked_until_ms.get(intent.machine, 0):
        return False
    return intent.ordered_ms is None or state.now_ms - intent.ordered_ms >= ORDER_RETRY_MS


def _is_empty(state: FleetOwnerState, intent: Intent) -> bool:
    """Return whether a recent load reports that nothing runs on the machine.

    Its share's owner starts nothing there once it has received the intent.
    """
    if intent.worker_id is None:
        return True
    return any(
        intent.worker_id in view.load.empty
        for view in state.views.values()
        if state.now_ms - view.received_ms < LOAD_MAX_AGE_MS
    )


def _complete_waves(state: FleetOwnerState) -> list[FleetEffect]:
    """Complete the waves of which each remaining machine was begun."""
    effects: list[FleetEffect] = []
    for progress in state.waves.values():
        left = [
            name
            for name in progress.wave.machines
            if name not in progress.begun and not has_left(state, name)
        ]
        if not progress.is_complete and not left:
            progress.is_complete = True
            effects.append(SaveWave(progress=progress))
    return effects
