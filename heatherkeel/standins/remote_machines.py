"""Machines whose workers run as processes of their own, as the users' platform knows them."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any, Final

import trio

from .control_models import Beat, BeatAnswer, BeginAnswer, MachineChange
from .entries import ENTRIES_TOPIC, drop_entry, make_entry
from .faults import Faults
from .keyed_log import Answer, KeyedLog
from .machines_api import DOWN, MOVING, UP, ListedMachine

TAKE_S: Final = 1.0
"""How long an order for a machine waits for a heartbeat of its worker, in seconds."""

Life = tuple[str, int]
"""A worker's id, and when this life of it began, in milliseconds since 1970."""


@dataclass(kw_only=True, slots=True)
class Order:
    """Ends a worker's life and brings its machine back in a pool."""

    life: Life
    pool: str
    taken: trio.Event = field(default_factory=trio.Event)
    """The worker was told."""
    done: trio.Event = field(default_factory=trio.Event)
    """The life is over."""


@dataclass(kw_only=True, slots=True)
class RemoteMachine(ListedMachine):
    """A machine, and what the heartbeats of its worker told last."""

    life: Life | None = None
    order: Order | None = None
    back_s: float = 0.0
    """When its next life may begin, in seconds of the monotonic clock."""

    def worker_id(self) -> str | None:
        """Return the id of the worker on it."""
        return self.life[0] if self.life else None


@dataclass(kw_only=True, slots=True)
class RemoteMachines:
    """Decides when lives begin and end, and keeps the entries of the workers."""

    log: KeyedLog
    faults: Faults
    standby: str
    entry_ttl_s: float
    away_s: float
    """How long a machine is away when it moves or is maintained."""
    by_name: dict[str, RemoteMachine] = field(default_factory=dict)
    over: dict[Life, str] = field(default_factory=dict)
    """Lives that are over, and the pools for which they ended."""
    heard_s: dict[str, float] = field(default_factory=dict)
    """When each worker with an entry was heard last, in seconds of the monotonic clock."""
    sequence: int = 0

    def change(self, change: MachineChange) -> None:
        """Add or change a machine."""
        machine = self.by_name.get(change.machine)
        if machine is None:
            machine = RemoteMachine(name=change.machine, pool=change.pool)
            self.by_name[change.machine] = machine
        if change.state == DOWN:
            self._end_life(machine)
        machine.pool, machine.state = change.pool, change.state
        machine.zone, machine.rack = change.zone, change.rack
        machine.kind = change.kind

    def begin(self, name: str, pool: str, *, is_boot: bool) -> BeginAnswer:
        """Say whether a life may begin on a machine; an unknown one joins the pool it names.

        No earlier life on it is left then. A process that boots puts a machine up that was down.
        """
        machine = self.by_name.setdefault(name, RemoteMachine(name=name, pool=pool))
        self._end_life(machine)
        if is_boot and machine.state == DOWN:
            machine.state = UP
        if machine.state == DOWN or time.monotonic() < machine.back_s:
            return BeginAnswer(life="off", pool=machine.pool)
        machine.state = UP
        is_off = machine.pool == self.standby
        return BeginAnswer(life="off" if is_off else "begin", pool=machine.pool)

    def beat(self, beat: Beat) -> BeatAnswer:
        """Take a heartbeat; `beat.machine` is known."""
        machine = self.by_name[beat.machine]
        life = (beat.id, beat.born)
        order = machine.order
        if order is not None and order.life == life:
            order.taken.set()
            self.over[life] = order.pool
        if life in self.over:
            return self._answer_end(machine, life)
        self._note_life(machine, life)
        if not self.faults.entries_silent:
            self._write_entry(machine, beat)
        return BeatAnswer(life="go on")

    def _answer_end(self, machine: RemoteMachine, life: Life) -> BeatAnswer:
        is_to_end = machine.order is not None and machine.order.life == life
        left_s = self.away_s if is_to_end else max(0.0, machine.back_s - time.monotonic())
        return BeatAnswer(life="end", pool=self.over[life], away_ms=round(1000 * left_s))

    def end(self, name: str, life: Life, *, is_leaving: bool) -> None:
        """Take note that a life is over; a worker that has left puts its machine down."""
        machine = self.by_name[name]
        self.over.setdefault(life, machine.pool)
        self._drop_entry(life[0])
        if machine.life == life:
            self._end_life(machine)
        if is_leaving:
            machine.state = DOWN

    async def async_take_away(self, name: str, pool: str) -> Answer:
        """End what runs on a machine, and bring it back in a pool after a while.

        Until the worker has ended its life it stays listed, and the call isn't answered: whoever
        takes it for gone may start its tasks again. Nothing is done if it isn't heard.
        """
        machine = self.by_name[name]
        if machine.state != UP or machine.order is not None:
            return Answer(status=409, body={"reason": "busy"})
        if machine.life is None:
            self._send_away(machine, pool)
            return Answer()
        order = machine.order = Order(life=machine.life, pool=pool)
        with trio.move_on_after(TAKE_S):
            await order.taken.wait()
        if not order.taken.is_set():
            machine.order = None
            return Answer(status=503)
        await order.done.wait()
        return Answer()

    def expire_entries(self) -> None:
        """Remove the entries of workers that haven't been heard for too long."""
        now_s = time.monotonic()
        for worker_id, heard_s in list(self.heard_s.items()):
            if now_s - heard_s > self.entry_ttl_s:
                self._drop_entry(worker_id)

    def _note_life(self, machine: RemoteMachine, life: Life) -> None:
        if machine.life is not None and machine.life != life:
            self.over[machine.life] = machine.pool
            self._end_life(machine)
        if machine.state == UP:
            machine.life = life

    def _send_away(self, machine: RemoteMachine, pool: str) -> None:
        machine.life = None
        machine.state, machine.pool = MOVING, pool
        machine.back_s = time.monotonic() + self.away_s

    def _end_life(self, machine: RemoteMachine) -> None:
        """Forget the life on a machine, and carry out what its worker was told to end for."""
        machine.life = None
        order = machine.order
        if order is not None and order.taken.is_set():
            machine.order = None
            self._send_away(machine, order.pool)
            order.done.set()

    def _write_entry(self, machine: RemoteMachine, beat: Beat) -> None:
        self.sequence += 1
        report: dict[str, Any] = {"state": beat.state}
        if beat.remaining_ms is not None:
            report["remainingMs"] = beat.remaining_ms
        entry = make_entry(
            machine,
            service=machine.pool,
            address=beat.address,
            born=beat.born,
            cpu=beat.cpu,
            sequence=self.sequence,
            report=report,
        )
        self.log.put(ENTRIES_TOPIC, beat.id, entry)
        self.heard_s[beat.id] = time.monotonic()

    def _drop_entry(self, worker_id: str) -> None:
        if self.heard_s.pop(worker_id, None) is not None:
            drop_entry(self.log, worker_id)
