"""An instance is held as failed on the word of several, or of the platform."""

from __future__ import annotations

from heatherkeel.core.models import RejectReason
from heatherkeel.pools.const import OBSERVATION_LIFETIME_MS
from heatherkeel.pools.models import Health, InstanceObserved, InstanceStatus, Source
from tests.fleets import small_fleet


def _seen(
    observer: str, health: Health = Health.FAILED, *, source: Source = Source.PEER
) -> InstanceObserved:
    return InstanceObserved(instance="a0", health=health, observer=observer, source=source)


def test_two_observers_decide() -> None:
    log = small_fleet()
    log.must(_seen("entry-a"))
    log.must(_seen("entry-a"))
    assert log.instance("a0").status is InstanceStatus.SERVING
    log.must(_seen("entry-b"))
    assert log.instance("a0").status is InstanceStatus.FAILED
    log.must(_seen("entry-b", Health.HEALTHY))
    log.must(_seen("entry-a", Health.HEALTHY))
    assert log.instance("a0").status is InstanceStatus.SERVING


def test_the_platforms_word_is_enough() -> None:
    log = small_fleet()
    log.must(_seen("entry-c", source=Source.PLATFORM))
    assert log.instance("a0").failure == "seen to fail by platform"


def test_observers_that_are_cut_off_from_the_zone_do_not_fail_its_instances() -> None:
    # Zones b and c lose their link to zone a, not to the platform. Both see every target of a
    # fail, while a serves its own callers well.
    log = small_fleet()
    log.must(_seen("entry-b"))
    log.must(_seen("entry-c"))
    assert log.instance("a0").status is InstanceStatus.SERVING
    log.must(_seen("entry-a"))
    assert log.instance("a0").status is InstanceStatus.FAILED


def test_old_observations_do_not_count() -> None:
    log = small_fleet()
    log.must(_seen("entry-a"))
    log.wait(OBSERVATION_LIFETIME_MS + 1)
    log.must(_seen("entry-b"))
    assert log.instance("a0").status is InstanceStatus.SERVING


def test_strangers_and_instances_in_a_drain_are_not_judged() -> None:
    log = small_fleet()
    assert log.refused(_seen("entry-z")).reason is RejectReason.NOT_FOUND
    log.must(log.drain("a0"))
    assert log.refused(_seen("entry-a")).reason is RejectReason.WRONG_STATE
