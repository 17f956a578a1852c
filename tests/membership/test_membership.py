"""Entry instances join, renew and leave, and earlier incarnations are kept."""

from __future__ import annotations

from heatherkeel.core.models import RejectReason
from heatherkeel.membership.models import EntryGone, EntryLeave, EntryRenew
from tests.fleets import LEASE_MS, FoldedLog, join


def test_a_renewal_extends_the_lease_in_log_time() -> None:
    log = FoldedLog()
    log.must(join("entry-a"))
    log.wait(3_000)
    log.must(EntryRenew(instance="entry-a", incarnation="entry-a.1", offset_in_force=0))
    assert log.state.membership.entries["entry-a"].lease_until_ms == log.now_ms + LEASE_MS


def test_a_replaced_incarnation_can_only_join_again() -> None:
    # A replaced process that resumes after a pause must not be able to renew its lease.
    log = FoldedLog()
    log.must(join("entry-a"))
    log.must(join("entry-a", incarnation="2"))
    renewal = EntryRenew(instance="entry-a", incarnation="entry-a.1", offset_in_force=0)
    assert log.refused(renewal).reason is RejectReason.NOT_FOUND
    assert set(log.state.membership.superseded) == {"entry-a.1"}
    log.must(join("entry-a"))
    assert set(log.state.membership.superseded) == {"entry-a.2"}


def test_an_incarnation_belongs_to_one_instance_and_zone() -> None:
    # If an incarnation could change its zone, drains of targets in its old zone could stop
    # waiting for it too early.
    log = FoldedLog()
    log.must(join("entry-a"))
    assert log.refused(join("entry-a", zone="b")).reason is RejectReason.CONFLICT


def test_a_leave_or_termination_removes_exactly_one_incarnation() -> None:
    log = FoldedLog()
    log.must(join("entry-a"))
    log.must(join("entry-a", incarnation="2"))
    other = EntryGone(instance="entry-b", incarnation="entry-a.1")
    assert log.refused(other).reason is RejectReason.NOT_FOUND
    log.must(EntryGone(instance="entry-a", incarnation="entry-a.1"))
    assert log.state.membership.superseded == {}
    log.must(EntryLeave(instance="entry-a", incarnation="entry-a.2"))
    assert log.state.membership.entries == {}
