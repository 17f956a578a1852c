"""A renewal by an entry instance that was paused for longer than its lease."""

from __future__ import annotations

from heatherkeel.catalogue.models import Reserve

from .test_state_machine import DrainMachine


def test_renewal_after_an_expired_lease_breaks_no_promise_of_a_drain() -> None:
    """Guards against calling a wait invalid that an expired lease has ended."""
    machine = DrainMachine()
    machine.begin(min_serving=0, reserve=Reserve.NONE)
    machine.plan_drains(is_stale=False, name="fixed_share", replica=0)
    machine.let_time_pass(duration_ms=16_000)
    machine.send(instance_id="a0", is_cut=True, slot=0)
    machine.go_on(is_returning=False, replica=0)
