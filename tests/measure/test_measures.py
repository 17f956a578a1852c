"""The three measures: bounds, runs through the production fold, and the comparison."""

from __future__ import annotations

from dataclasses import replace

import pytest

from heatherkeel.measure import users
from heatherkeel.measure.bounds import fewest_spare, find_bounds, most_at_once
from heatherkeel.measure.measures import Row, find_missed
from heatherkeel.measure.users import AGENCY, ARRANGEMENTS, OURS, SCENARIOS, SHEETAL, Scenario
from heatherkeel.measure.wave_run import WaveResult, WaveRun
from heatherkeel.pools.models import InstanceStatus

ROW = Row(
    user="sheetal",
    scenario="ordinary day",
    arrangement=OURS.name,
    buffer_cost=12,
    roll_out_time_s=100,
    moves=30,
    cancelled=0,
    broken=0,
    least_margin=1,
)


def run(scenario: Scenario, *, arrangement: users.Arrangement = OURS) -> WaveResult:
    return WaveRun(user=AGENCY, arrangement=arrangement, scenario=scenario).run()


def test_bounds_by_hand() -> None:
    # 24 instances in three zones of 8: one stops, a zone of 8 is lost, 15 are left. With 23 the
    # zones are 8, 8 and 7, and 14 would be left.
    assert fewest_spare(15) == 9
    assert (most_at_once(24, need=15), most_at_once(23, need=15)) == (1, 0)
    # 30 in zones of 10: seven out as 3, 2, 2 leave 7, 8, 8; with one zone more lost, 15.
    assert most_at_once(30, need=15) == 7
    assert find_bounds(SHEETAL).roll_out_time_s == 5 * SHEETAL.reboot_s


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_a_wave_ends_with_every_promise_kept(scenario: Scenario) -> None:
    made = WaveRun(user=AGENCY, arrangement=OURS, scenario=scenario)
    result = made.run()
    assert result.roll_out_time_s is not None
    assert result.violations == []
    assert result.least_margin >= 0
    started = made.state.waves.waves[users.SHARED_POOL].started_offset
    for instance in made.state.pools.instances.values():
        is_failed = instance.status is InstanceStatus.FAILED
        assert instance.maintained_offset >= started or is_failed


def test_ours_reaches_the_shortest_wave_on_an_ordinary_day() -> None:
    took_s = run(SCENARIOS[0]).roll_out_time_s
    assert took_s is not None
    assert took_s - find_bounds(AGENCY).roll_out_time_s <= 10  # one tick of the run's clock


def test_a_shared_buffer_is_smaller_than_one_for_each_service() -> None:
    per_service = users.SERVICES * fewest_spare(users.NEED_PER_SERVICE)
    assert fewest_spare(users.NEED_PER_SERVICE * users.SERVICES) < per_service


def test_a_fold_that_forgets_its_budget_is_found_out(monkeypatch: pytest.MonkeyPatch) -> None:
    # The fold lets each drain through, and the policy proposes without looking at margins. The
    # checkers, and the count by hand, must both see fewer instances serving than are needed.
    monkeypatch.setattr("heatherkeel.waves.reducer.check_budgets", lambda *_, **__: None)
    monkeypatch.setattr("heatherkeel.waves.coordinator.check_budgets", lambda *_, **__: None)
    monkeypatch.setattr(
        "heatherkeel.waves.policy.PoolView.margin_without", lambda self, rack: len(self.candidates)
    )
    found = {violation.promise for violation in run(SCENARIOS[0]).violations}
    assert {"budget", "budget_holds"} <= found


def test_being_behind_a_baseline_is_a_missed_target() -> None:
    faster = replace(ROW, arrangement=ARRANGEMENTS[2].name, roll_out_time_s=99, buffer_cost=13)
    assert find_missed(SHEETAL, [ROW, faster]) == [
        "sheetal, ordinary day: roll_out_time_s is 100.0, 99.0 for one at a time"
    ]


def test_a_baseline_that_breaks_a_promise_is_not_ahead() -> None:
    careless = replace(ROW, arrangement=ARRANGEMENTS[2].name, roll_out_time_s=1, broken=1)
    assert find_missed(SHEETAL, [ROW, careless]) == []


def test_a_tie_counts_only_at_the_bound() -> None:
    bound = find_bounds(SHEETAL).buffer_cost
    for cost, missed in ((bound, 0), (bound + 1, 1)):
        ours = replace(ROW, buffer_cost=cost)
        same = replace(ours, arrangement=ARRANGEMENTS[2].name)
        assert len(find_missed(SHEETAL, [ours, same])) == missed
