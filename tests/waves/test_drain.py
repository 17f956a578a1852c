"""A planned stop goes through only when nobody can send to the target any more."""

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


def test_one_instance_goes_through_its_whole_cycle() -> None:
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


def test_a_silent_entry_instance_of_the_same_zone_holds_the_stop() -> None:
    # Availability zone a is cut off: its entry instance goes on sending callers' requests to a0,
    # and no renewal reaches the log. A stop after its lease ran out would cut those requests.
    log = small_fleet()
    log.must(log.drain("a0"))
    log.must(log.ack("entry-b", "a0"))
    log.must(log.ack("entry-c", "a0"))
    log.wait(100 * LEASE_MS)
    assert log.instance("a0").status is InstanceStatus.DRAINING
    assert log.refused(log.stop("a0")).reason is RejectReason.WRONG_STATE


def test_a_lapsed_lease_in_another_zone_ends_the_wait_after_the_longest_request() -> None:
    # Zone b is cut off for good. Its entry instance stops sending to other zones when its lease
    # runs out, but a request that it sent just before may go on until its deadline.
    log = small_fleet()
    log.must(log.drain("a0"))
    log.must(log.ack("entry-a", "a0"))
    log.must(log.ack("entry-c", "a0"))
    log.wait(LEASE_MS + DEADLINE_MS - 1)
    assert log.instance("a0").status is InstanceStatus.DRAINING
    effects = log.wait(1)
    assert log.instance("a0").status is InstanceStatus.QUIESCED
    assert any(isinstance(effect, StopPermitted) for effect in effects)


def test_a_new_incarnation_does_not_speak_for_the_old_one() -> None:
    # entry-a is thought dead and replaced under its id, while the old process is cut off and
    # still sends to a0. The new process has nothing in progress and says so; that must not
    # free a0. Only the platform's word about the old one does.
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


def test_an_incarnation_replaced_before_the_drain_is_waited_for_too() -> None:
    # The same, but entry-a was replaced before the drain began.
    log = small_fleet()
    log.must(join("entry-a", incarnation="2"))
    log.must(log.drain("a0"))
    assert set(log.drain_of("a0").waiting) == {"entry-a.1", "entry-a.2", "entry-b.1", "entry-c.1"}


def test_an_entry_instance_that_leaves_is_waited_for_no_more() -> None:
    log = small_fleet()
    log.must(log.drain("a0"))
    log.must(log.ack("entry-b", "a0"))
    log.must(log.ack("entry-c", "a0"))
    log.must(EntryLeave(instance="entry-a", incarnation="entry-a.1"))
    assert log.instance("a0").status is InstanceStatus.QUIESCED


def test_an_acknowledgement_of_an_earlier_drain_counts_for_nothing() -> None:
    # entry-a acknowledges a drain that is cancelled, and sends to a0 again. Its record, delayed,
    # arrives in the next drain of a0, when it has a request in progress there.
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


def test_nobody_to_wait_for_quiesces_at_once() -> None:
    log = small_fleet()
    for zone in "abc":
        log.must(EntryLeave(instance=f"entry-{zone}", incarnation=f"entry-{zone}.1"))
    log.must(log.drain("a0"))
    assert log.instance("a0").status is InstanceStatus.QUIESCED


def test_a_second_coordinator_is_refused() -> None:
    # A coordinator sleeps past its lease, wakes, and goes on with what it had planned, while
    # another one has drained the same instance.
    log = small_fleet()
    stale = log.drain("a0")
    log.must(log.drain("a0"))
    refusal = log.refused(stale)
    assert (refusal.reason, refusal.version) == (RejectReason.STALE_VERSION, 2)


def test_the_boot_that_was_stopped_does_not_count_as_returned() -> None:
    # The platform's list lags and still shows a0 running, under the boot that is being stopped.
    log = small_fleet()
    log.quiesce("a0")
    log.must(log.stop("a0"))
    stale = Returned(instance="a0", expected_version=4, boot_id="a0.1")
    assert log.refused(stale).reason is RejectReason.WRONG_STATE


def test_a_return_fails_by_log_time_only() -> None:
    # A coordinator with a wrong clock says at once that a0 didn't come back.
    log = small_fleet()
    log.quiesce("a0")
    log.must(log.stop("a0"))
    failed = ReturnFailed(instance="a0", expected_version=4, cause=ReturnFailure.TIMED_OUT)
    assert log.refused(failed).reason is RejectReason.WRONG_STATE
    log.wait(60_000)
    log.must(failed)
    assert log.instance("a0").status is InstanceStatus.FAILED


def test_an_instance_whose_stop_may_still_come_is_not_taken_back() -> None:
    # The platform is slow: a0 has not been stopped when its time to come back is over, and so
    # it still answers. Taken back into service, it would be stopped with requests in progress.
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


def test_a_failed_instance_is_repaired_without_touching_the_budget() -> None:
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
    # Six serve and four must, with one rack of one instance in reserve: there is room for one.
    log = small_fleet(min_serving=4)
    log.must(log.drain("a0"))
    refusal = log.refused(log.drain("b0"))
    assert refusal.reason is RejectReason.NO_BUDGET
    assert refusal.detail == "stock: 4 serving less 1 (rack) is below 4"


def test_the_reserve_counts_a_whole_availability_zone() -> None:
    log = small_fleet(min_serving=4, reserve=Reserve.ZONE)
    assert log.refused(log.drain("a0")).reason is RejectReason.NO_BUDGET


def test_every_service_on_the_pool_is_asked() -> None:
    log = small_fleet(min_serving=1)
    log.put("sheets", service(min_serving=5, path_prefix="/sheets"))
    refusal = log.refused(log.drain("a0"))
    assert refusal.detail.startswith("sheets:")


def test_a_rack_lost_after_the_drain_stops_the_stop() -> None:
    # a0 is drained with room for one more rack. Then that rack fails. Stopping a0 now would
    # leave no room for the next loss, so a0 has to come back to its callers.
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


def test_concurrent_drains_are_bounded() -> None:
    log = small_fleet(min_serving=0)
    log.must(log.drain("a0"))
    log.must(log.drain("b0"))
    assert log.refused(log.drain("c0")).reason is RejectReason.CONFLICT


def test_acknowledgements_of_strangers_are_refused() -> None:
    log = small_fleet()
    log.must(log.drain("a0"))
    acked = (AckedDrain(instance="a0", drain=log.drain_of("a0").id),)
    stranger = DrainAck(entry="entry-z", incarnation="entry-a.1", instances=acked)
    assert log.refused(stranger).reason is RejectReason.NOT_FOUND


def test_a_drain_of_an_instance_that_is_gone_is_forgotten() -> None:
    log = small_fleet()
    log.must(log.drain("a0"))
    log.must(InstanceGone(instance="a0", boot_id="a0.1"))
    assert log.state.waves.drains == {}
    log.must(admit("a0", zone="a", rack="r"))
    assert log.instance("a0").version == 3
