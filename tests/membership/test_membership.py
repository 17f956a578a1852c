"""Entry instances join, renew and leave; an earlier incarnation is not forgotten."""

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
    # The old process wakes from a pause and renews. It must learn that it may not route.
    log = FoldedLog()
    log.must(join("entry-a"))
    log.must(join("entry-a", incarnation="2"))
    renewal = EntryRenew(instance="entry-a", incarnation="entry-a.1", offset_in_force=0)
    assert log.refused(renewal).reason is RejectReason.NOT_FOUND
    assert set(log.state.membership.superseded) == {"entry-a.1"}
    log.must(join("entry-a"))
    assert set(log.state.membership.superseded) == {"entry-a.2"}


def test_an_incarnation_belongs_to_one_instance_and_zone() -> None:
    # With another zone under the same name, a process could be released from a wait that its
    # own zone's targets still need.
    log = FoldedLog()
    log.must(join("entry-a"))
    assert log.refused(join("entry-a", zone="b")).reason is RejectReason.CONFLICT


def test_leaving_and_being_gone_remove_exactly_one_incarnation() -> None:
    log = FoldedLog()
    log.must(join("entry-a"))
    log.must(join("entry-a", incarnation="2"))
    stranger = EntryGone(instance="entry-b", incarnation="entry-a.1")
    assert log.refused(stranger).reason is RejectReason.NOT_FOUND
    log.must(EntryGone(instance="entry-a", incarnation="entry-a.1"))
    assert log.state.membership.superseded == {}
    log.must(EntryLeave(instance="entry-a", incarnation="entry-a.2"))
    assert log.state.membership.entries == {}
