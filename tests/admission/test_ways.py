"""Three ways to refuse compared on the same loads: never, once a job is stored, or before."""

from __future__ import annotations

import pytest

from heatherkeel.admission.models import RefusalReason

from .gated_surge import BUSY, USUAL, GatedSurge, Way

SEEDS = (1, 2)
LOAD, FOR_S = 3.0, 8.0


def run(way: Way, *, seed: int, load: float = LOAD, busy_fraction: float = 0.2) -> GatedSurge:
    """Simulate a surge in which one workspace sends far more than its weight."""
    surge = GatedSurge(workers=4, seed=seed, way=way, busy_fraction=busy_fraction)
    surge.run(load=load, for_s=FOR_S)
    return surge


@pytest.mark.parametrize("seed", SEEDS)
def test_no_job_is_refused_that_would_have_been_served(seed: int) -> None:
    """Guards against wrong refusals: nobody is refused here, so each outcome is known."""
    surge = run(Way.NEVER, seed=seed)
    served = {job.id for job in surge.served()}
    assert surge.refused
    assert not [refused for refused in surge.refused if refused.job_id in served]


@pytest.mark.parametrize("seed", SEEDS)
def test_others_are_served_as_well_and_fewer_jobs_are_stored(seed: int) -> None:
    """At the entry, refused jobs cost no append, and their callers don't wait for the store."""
    never, at_append, at_entry = (run(way, seed=seed) for way in Way)
    for way in (at_append, at_entry):
        assert way.reasons() == {RefusalReason.BEYOND_WEIGHT}
        assert len(way.served(workspace=USUAL)) >= 0.98 * len(never.served(workspace=USUAL))
        assert len(way.served(workspace=BUSY)) >= 0.9 * len(never.served(workspace=BUSY))
    assert at_append.stored == never.stored
    assert at_entry.stored == never.stored - len(at_entry.refused)
    assert all(refused.waited_ms >= at_append.append_ms for refused in at_append.refused)
    assert all(refused.waited_ms == 0 for refused in at_entry.refused)


@pytest.mark.parametrize("load", [0.5, 1.0])
def test_nobody_is_refused_without_an_overload(load: float) -> None:
    assert not run(Way.AT_ENTRY, seed=1, load=load).refused


@pytest.mark.parametrize("load", [1.5, 3.0])
def test_surge_of_jobs_within_their_weight_refuses_nobody_for_sure(load: float) -> None:
    """A surge may end at any moment, and its smaller jobs expire before larger ones do."""
    assert not run(Way.AT_ENTRY, seed=1, load=load, busy_fraction=0.0).refused
