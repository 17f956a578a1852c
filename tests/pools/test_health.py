"""Tests of instances failing by the observations of several observers or of the platform."""

from __future__ import annotations

from heatherkeel.core.models import RejectReason
from heatherkeel.pools.const import OBSERVATION_LIFETIME_MS
from heatherkeel.pools.models import Health, InstanceObserved, InstanceStatus, Source
from tests.fleets import small_fleet


def _observed(
    observer: str, health: Health = Health.FAILED, *, source: Source = Source.PEER
) -> InstanceObserved:
    return InstanceObserved(instance="a0", health=health, observer=observer, source=source)


def test_two_observers_decide() -> None:
    log = small_fleet()
    log.must(_observed("entry-a"))
    log.must(_observed("entry-a"))
    assert log.instance("a0").status is InstanceStatus.SERVING
    log.must(_observed("entry-b"))
    assert log.instance("a0").status is InstanceStatus.FAILED
    log.must(_observed("entry-b", Health.HEALTHY))
    log.must(_observed("entry-a", Health.HEALTHY))
    assert log.instance("a0").status is InstanceStatus.SERVING


def test_observation_by_the_platform_is_sufficient() -> None:
    log = small_fleet()
    log.must(_observed("entry-c", source=Source.PLATFORM))
    assert log.instance("a0").failure == "seen to fail by platform"


def test_observers_cut_off_from_a_zone_do_not_fail_its_instances() -> None:
    # Zones b and c lose their links to zone a, whose targets still serve callers in a.
    log = small_fleet()
    log.must(_observed("entry-b"))
    log.must(_observed("entry-c"))
    assert log.instance("a0").status is InstanceStatus.SERVING
    log.must(_observed("entry-a"))
    assert log.instance("a0").status is InstanceStatus.FAILED


def test_old_observations_do_not_count() -> None:
    log = small_fleet()
    log.must(_observed("entry-a"))
    log.wait(OBSERVATION_LIFETIME_MS + 1)
    log.must(_observed("entry-b"))
    assert log.instance("a0").status is InstanceStatus.SERVING


def test_unknown_observers_and_draining_instances_are_rejected() -> None:
    log = small_fleet()
    assert log.refused(_observed("entry-z")).reason is RejectReason.NOT_FOUND
    log.must(log.drain("a0"))
    assert log.refused(_observed("entry-a")).reason is RejectReason.WRONG_STATE
