"""An instance is in exactly one pool at every offset, also with concurrent moves."""

from __future__ import annotations

from heatherkeel.core.models import RejectReason
from heatherkeel.pools.models import InstanceStatus
from heatherkeel.waves.models import DrainStart, MoveJoin, Purpose
from tests.fleets import FoldedLog, small_fleet


def _move(log: FoldedLog, *, to_pool: str, coordinator: str = "entry-a") -> DrainStart:
    return DrainStart(
        instance="a0",
        expected_version=log.instance("a0").version,
        coordinator=coordinator,
        purpose=Purpose.MOVE,
        to_pool=to_pool,
    )


def _join(log: FoldedLog) -> MoveJoin:
    version = log.instance("a0").version
    return MoveJoin(instance="a0", expected_version=version, coordinator="entry-a")


def test_a_move_joins_only_after_all_acknowledged() -> None:
    # Callers of the old pool may still have requests on a0. Requests to the new pool must not
    # reach it before those are finished.
    log = small_fleet()
    log.must(_move(log, to_pool="spare"))
    assert log.refused(_join(log)).reason is RejectReason.WRONG_STATE
    for entry_id in ("entry-a", "entry-b", "entry-c"):
        assert log.instance("a0").pool == "desk"
        log.must(log.ack(entry_id, "a0"))
    log.must(_join(log))
    assert log.instance("a0").pool == "spare"
    assert log.instance("a0").status is InstanceStatus.SERVING


def test_of_two_concurrent_moves_one_is_accepted_and_the_other_refused() -> None:
    # Two coordinators read the same version and move a0 at the same time.
    log = small_fleet()
    first = _move(log, to_pool="spare", coordinator="entry-a")
    second = _move(log, to_pool="spare", coordinator="entry-b")
    log.must(first)
    refusal = log.refused(second)
    assert (refusal.reason, refusal.version) == (RejectReason.STALE_VERSION, 2)
    assert log.drain_of("a0").coordinator == "entry-a"


def test_a_move_requires_another_existing_pool() -> None:
    log = small_fleet()
    assert log.refused(_move(log, to_pool="nowhere")).reason is RejectReason.NOT_FOUND
    assert log.refused(_move(log, to_pool="desk")).reason is RejectReason.WRONG_STATE


def test_a_moved_instance_is_not_stopped() -> None:
    log = small_fleet()
    log.must(_move(log, to_pool="spare"))
    for entry_id in ("entry-a", "entry-b", "entry-c"):
        log.must(log.ack(entry_id, "a0"))
    assert log.refused(log.stop("a0")).reason is RejectReason.WRONG_STATE
