"""A planned stop is accepted only when no entry instance can send to the target."""

from __future__ import annotations

from heatherkeel.catalogue.models import Reserve
from heatherkeel.core.models import RejectReason
from heatherkeel.membership.models import EntryGone, EntryLeave
from heatherkeel.pools.models import (
    Health,
    InstanceGone,
    InstanceObserved,
    InstanceStatus,
    Source,
)
from heatherkeel.waves.models import (
    AckedDrain,
    DrainAck,
    DrainCancel,
    Purpose,
    Returned,
    ReturnFailed,
    ReturnFailure,
    StopPermitted,
)
from tests.fleets import LEASE_MS, FoldedLog, admit, join, maintenance, service, small_fleet

DEADLINE_MS = 5_000


def test_an_instance_is_drained_stopped_and_returned() -> None:
    log = small_fleet()
    log.must(log.drain("a0"))
    for entry_id in ("entry-a", "entry-b", "entry-c"):
        assert log.instance("a0").status is InstanceStatus.DRAINING
        log.must(log.ack(entry_id, "a0"))
    assert isinstance(log.effects[-1], StopPermitted)
    log.must(log.stop("a0"))
    assert log.instance("a0").status is InstanceStatus.STOPPED
    log.wait(1000)
    log.must(Returned(instance="a0", expected_version=4, boot_id="a0.2"))
    assert log.instance("a0").status is InstanceStatus.SERVING
    assert log.instance("a0").maintained_ms == log.now_ms
    assert log.state.waves.drains == {}


def test_an_unresponsive_entry_instance_of_the_same_zone_blocks_the_stop() -> None:
    # Availability zone a is cut off: its entry instance keeps sending requests to a0, and no
    # renewal reaches the log. A stop after the expiry of its lease would cut off those requests.
    log = small_fleet()
    log.must(log.drain("a0"))
    log.must(log.ack("entry-b", "a0"))
    log.must(log.ack("entry-c", "a0"))
    log.wait(100 * LEASE_MS)
    assert log.instance("a0").status is InstanceStatus.DRAINING
    assert log.refused(log.stop("a0")).reason is RejectReason.WRONG_STATE


def test_an_expired_lease_in_another_zone_ends_the_wait_after_the_longest_request() -> None:
    # Zone b is cut off permanently. Its entry instance stops sending to other zones when its lease
    # expires, but a request that it sent just before may continue until its deadline.
    log = small_fleet()
    log.must(log.drain("a0"))
    log.must(log.ack("entry-a", "a0"))
    log.must(log.ack("entry-c", "a0"))
    log.wait(LEASE_MS + DEADLINE_MS - 1)
    assert log.instance("a0").status is InstanceStatus.DRAINING
    effects = log.wait(1)
    assert log.instance("a0").status is InstanceStatus.QUIESCED
    assert any(isinstance(effect, StopPermitted) for effect in effects)


def test_a_new_incarnation_does_not_acknowledge_for_the_old_one() -> None:
    # entry-a is replaced under its id, while the old process is cut off and still sends to a0. An
    # acknowledgement of the new process must not quiesce a0; only the old one's termination does.
    log = small_fleet()
    log.must(log.drain("a0"))
    log.must(log.ack("entry-b", "a0"))
    log.must(log.ack("entry-c", "a0"))
    log.must(join("entry-a", incarnation="2"))
    assert log.refused(log.ack("entry-a", "a0")).reason is RejectReason.NOT_FOUND
    log.wait(100 * LEASE_MS)
    assert log.instance("a0").status is InstanceStatus.DRAINING
    log.must(EntryGone(instance="entry-a", incarnation="entry-a.1"))
    assert log.instance("a0").status is InstanceStatus.QUIESCED


def test_an_incarnation_replaced_before_the_drain_is_waited_for() -> None:
    # The old process of entry-a may still send to a0.
    log = small_fleet()
    log.must(join("entry-a", incarnation="2"))
    log.must(log.drain("a0"))
    assert set(log.drain_of("a0").waiting) == {"entry-a.1", "entry-a.2", "entry-b.1", "entry-c.1"}


def test_an_entry_instance_that_leaves_is_no_longer_waited_for() -> None:
    log = small_fleet()
    log.must(log.drain("a0"))
    log.must(log.ack("entry-b", "a0"))
    log.must(log.ack("entry-c", "a0"))
    log.must(EntryLeave(instance="entry-a", incarnation="entry-a.1"))
    assert log.instance("a0").status is InstanceStatus.QUIESCED


def test_an_acknowledgement_of_an_earlier_drain_is_refused() -> None:
    # entry-a acknowledges a drain that is then cancelled, and sends to a0 again. Its record arrives
    # late, during the next drain of a0, when it has a request in progress there.
    log = small_fleet()
    log.must(log.drain("a0"))
    late = log.ack("entry-a", "a0")
    log.must(DrainCancel(instance="a0", expected_version=2, coordinator="x", reason="late"))
    log.must(log.drain("a0"))
    assert log.refused(late).reason is RejectReason.NOT_FOUND
    assert "entry-a.1" in log.drain_of("a0").waiting


def test_one_record_acknowledges_several_drains() -> None:
    log = small_fleet()
    log.must(log.drain("a0"))
    log.must(log.drain("b0"))
    for entry_id in ("entry-a", "entry-b", "entry-c"):
        log.must(log.ack(entry_id, "a0", "b0"))
    assert log.instance("a0").status is InstanceStatus.QUIESCED
    assert log.instance("b0").status is InstanceStatus.QUIESCED


def test_a_drain_without_entry_instances_quiesces_at_once() -> None:
    log = small_fleet()
    for zone in "abc":
        log.must(EntryLeave(instance=f"entry-{zone}", incarnation=f"entry-{zone}.1"))
    log.must(log.drain("a0"))
    assert log.instance("a0").status is InstanceStatus.QUIESCED


def test_a_second_coordinator_is_refused() -> None:
    # A coordinator is suspended past its lease and then continues with its old plan, while another
    # one has drained the same instance.
    log = small_fleet()
    stale = log.drain("a0")
    log.must(log.drain("a0"))
    refusal = log.refused(stale)
    assert (refusal.reason, refusal.version) == (RejectReason.STALE_VERSION, 2)


def test_the_boot_that_was_stopped_does_not_count_as_returned() -> None:
    # The platform's list lags and still shows a0 running with the boot that is being stopped.
    log = small_fleet()
    log.quiesce("a0")
    log.must(log.stop("a0"))
    stale = Returned(instance="a0", expected_version=4, boot_id="a0.1")
    assert log.refused(stale).reason is RejectReason.WRONG_STATE


def test_a_return_times_out_by_log_time_only() -> None:
    # A coordinator with a wrong clock reports too early that a0 didn't come back.
    log = small_fleet()
    log.quiesce("a0")
    log.must(log.stop("a0"))
    failed = ReturnFailed(instance="a0", expected_version=4, cause=ReturnFailure.TIMED_OUT)
    assert log.refused(failed).reason is RejectReason.WRONG_STATE
    log.wait(60_000)
    log.must(failed)
    assert log.instance("a0").status is InstanceStatus.FAILED


def test_a_failed_instance_with_a_pending_stop_is_not_returned_to_service() -> None:
    # The platform is slow: a0 isn't stopped yet when its return timeout is over, and still answers.
    # If it were returned to service, it would be stopped with requests in progress.
    log = small_fleet()
    log.quiesce("a0")
    log.must(log.stop("a0"))
    log.must(ReturnFailed(instance="a0", expected_version=4, cause=ReturnFailure.START_FAILED))
    healthy = InstanceObserved(
        instance="a0", health=Health.HEALTHY, observer="entry-a", source=Source.PLATFORM
    )
    assert log.refused(healthy).reason is RejectReason.WRONG_STATE
    version = log.instance("a0").version
    log.must(Returned(instance="a0", expected_version=version, boot_id="a0.2"))
    assert log.instance("a0").status is InstanceStatus.SERVING


def test_a_repair_of_a_failed_instance_ignores_the_budget() -> None:
    log = small_fleet(min_serving=4)
    log.quiesce("a0")
    log.must(log.stop("a0"))
    log.must(ReturnFailed(instance="a0", expected_version=4, cause=ReturnFailure.START_FAILED))
    log.must(log.drain("a0", purpose=Purpose.REPAIR))
    for entry_id in ("entry-a", "entry-b", "entry-c"):
        log.must(log.ack(entry_id, "a0"))
    log.must(log.stop("a0"))
    version = log.instance("a0").version
    log.must(Returned(instance="a0", expected_version=version, boot_id="a0.9"))
    assert log.instance("a0").status is InstanceStatus.SERVING


def test_a_drain_beyond_the_budget_is_refused() -> None:
    # Six instances serve, four must, and the reserve is a rack of one: one drain is allowed.
    log = small_fleet(min_serving=4)
    log.must(log.drain("a0"))
    refusal = log.refused(log.drain("b0"))
    assert refusal.reason is RejectReason.NO_BUDGET
    assert refusal.detail == "stock: 4 serving less 1 (rack) is below 4"


def test_the_reserve_counts_a_whole_availability_zone() -> None:
    log = small_fleet(min_serving=4, reserve=Reserve.ZONE)
    assert log.refused(log.drain("a0")).reason is RejectReason.NO_BUDGET


def test_the_budget_of_every_service_on_the_pool_is_checked() -> None:
    log = small_fleet(min_serving=1)
    log.put("sheets", service(min_serving=5, path_prefix="/sheets"))
    refusal = log.refused(log.drain("a0"))
    assert refusal.detail.startswith("sheets:")


def test_a_rack_lost_after_the_drain_prevents_the_stop() -> None:
    # A rack fails after a0 was drained. Stopping a0 would leave no reserve for the next loss, so
    # a0 has to return to service.
    log = small_fleet(min_serving=4)
    log.quiesce("a0")
    _fail(log, "b0")
    assert log.refused(log.stop("a0")).reason is RejectReason.NO_BUDGET
    log.must(DrainCancel(instance="a0", expected_version=3, coordinator="x", reason="rack lost"))
    assert log.instance("a0").status is InstanceStatus.SERVING


def _fail(log: FoldedLog, instance_id: str) -> None:
    observed = InstanceObserved(
        instance=instance_id, health=Health.FAILED, observer="entry-a", source=Source.PLATFORM
    )
    log.must(observed)


def test_no_planned_stop_in_counter_hours() -> None:
    log = small_fleet()
    minute = log.now_ms // 60_000 % 1440
    closed = maintenance(closed_from_minute=minute + 2, closed_to_minute=minute + 10)
    log.put("care", closed)
    log.quiesce("a0")
    log.wait(120_000)
    assert log.refused(log.stop("a0")).reason is RejectReason.OUTSIDE_HOURS
    assert log.refused(log.drain("b0")).reason is RejectReason.OUTSIDE_HOURS


def test_counter_hours_may_span_midnight() -> None:
    log = small_fleet()
    log.put("care", maintenance(closed_from_minute=1380, closed_to_minute=120))
    assert log.refused(log.drain("a0")).reason is RejectReason.OUTSIDE_HOURS


def test_concurrent_drains_are_limited() -> None:
    log = small_fleet(min_serving=0)
    log.must(log.drain("a0"))
    log.must(log.drain("b0"))
    assert log.refused(log.drain("c0")).reason is RejectReason.CONFLICT


def test_an_acknowledgement_with_the_wrong_entry_instance_is_refused() -> None:
    log = small_fleet()
    log.must(log.drain("a0"))
    acked = (AckedDrain(instance="a0", drain=log.drain_of("a0").id),)
    stranger = DrainAck(entry="entry-z", incarnation="entry-a.1", instances=acked)
    assert log.refused(stranger).reason is RejectReason.NOT_FOUND


def test_a_drain_is_removed_with_its_terminated_instance() -> None:
    log = small_fleet()
    log.must(log.drain("a0"))
    log.must(InstanceGone(instance="a0", boot_id="a0.1"))
    assert log.state.waves.drains == {}
    log.must(admit("a0", zone="a", rack="r"))
    assert log.instance("a0").version == 3
