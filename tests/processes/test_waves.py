"""One wave with real processes: under load, and with its coordinator or an entry instance lost."""

from __future__ import annotations

import pytest

from .harness import Fleet, Process, wait_for
from .maintained import Callers, Maintained, maintenance


@pytest.fixture
def maintained(fleet: Fleet) -> Maintained:
    return Maintained(fleet=fleet)


def test_a_wave_under_load_cuts_nothing(maintained: Maintained) -> None:
    # Callers ask all the time while each of six targets is drained, rebooted and taken back.
    # Every caller gets its whole answer. A stop that came before the last acknowledgement, or
    # an acknowledgement with a request in progress, would cut one at the target.
    maintained.start(targets_per_zone=2, work_ms=700)
    with Callers(entries=list(maintained.entries.values())) as callers:
        maintained.put("upkeep", maintenance())
        wave = maintained.wait_for_wave("a")
    assert (wave["drained"], wave["returned"], wave["failed"]) == (6, 6, 0)
    assert maintained.reboots() == dict.fromkeys(maintained.targets, 1)
    assert maintained.cut() == 0
    assert set(callers.outcomes) == {"ran"}


def test_another_finishes_the_wave_of_a_killed_coordinator(maintained: Maintained) -> None:
    # The coordinator is killed when the first reboot is under way. Its own availability zone
    # has a second entry instance, and the platform says that the killed one is terminated; the
    # next in line takes over what it finds in the log. No target is stopped twice or left out.
    maintained.start(targets_per_zone=1)
    maintained.add_entry("a2", zone="a")
    with Callers(entries=[maintained.entries[zone] for zone in ("a2", "b", "c")], count=3):
        maintained.put("upkeep", maintenance(max_concurrent=1))
        coordinator = wait_for(maintained.find_coordinator, "a drain is under way")
        survivor = next(zone for zone in maintained.entries if zone != coordinator)
        maintained.entries[coordinator].kill()
        maintained.list_entry(coordinator, state="terminated")
        wave = maintained.wait_for_wave(survivor)
    assert wave["returned"] == 3
    assert maintained.reboots() == dict.fromkeys(maintained.targets, 1)
    assert maintained.cut() == 0


def test_a_coordinator_that_slept_past_its_lease_stops_nothing_twice(
    maintained: Maintained,
) -> None:
    # The coordinator freezes while the platform has its reboot in hand. Its lease runs out, and
    # another takes the target back. It wakes and goes on where it was: it asks for the same
    # reboot again. The target, which serves again, must not be stopped a second time.
    maintained.start(targets_per_zone=1, operation_delay_ms=300)
    maintained.put("upkeep", maintenance(max_concurrent=1))
    coordinator = wait_for(maintained.find_coordinator, "a drain is under way")
    frozen = maintained.entries[coordinator]
    survivor = next(zone for zone in maintained.entries if zone != coordinator)
    wait_for(maintained.find_stopped, "a target is stopped")
    frozen.freeze()
    wait_for(lambda: maintained.returned(survivor) >= 1, "another takes it back")
    wait_for(lambda: maintained.lease_lapsed(survivor, frozen.name), "the lease runs out")
    frozen.thaw()
    wave = maintained.wait_for_wave(survivor)
    assert wave["returned"] == 3
    assert maintained.reboots() == dict.fromkeys(maintained.targets, 1)
    assert maintained.cut() == 0


def test_a_frozen_entry_instance_holds_the_stop_in_its_zone(maintained: Maintained) -> None:
    # An entry instance freezes, and the target of its zone is drained. Its lease runs out, which
    # lets the other zones' targets go; but nobody can tell it from one that is cut off and goes
    # on sending within its zone. So that stop waits, operators are told for whom, and the drain
    # ends when it thaws.
    maintained.start(targets_per_zone=1, min_serving=0, lease_ms=3000)
    frozen = maintained.entries["c"]
    frozen.freeze()
    maintained.put("upkeep", maintenance(max_concurrent=3, return_timeout_s=60))
    wait_for(lambda: maintained.returned("a") >= 2, "the other zones are done")
    held = wait_for(lambda: maintained.find_held("a", "t-c1"), "it is silent for long")
    assert held["status"] == "draining"
    assert "e-c (c), silent for" in held["reason"]
    assert "t-c1" not in maintained.reboots()
    frozen.thaw()
    assert maintained.wait_for_wave("a")["returned"] == 3
    assert maintained.cut() == 0


def test_a_zone_cut_off_holds_its_stops_and_serves_on(maintained: Maintained) -> None:
    # One availability zone loses the platform when its target is about to be drained. Its
    # callers are still answered from what it last knew, so the target must not be stopped. When
    # the zone is back, its entry instance learns of the drain and acknowledges.
    maintained.start(targets_per_zone=1, min_serving=0, lease_ms=3000)
    maintained.fleet.set_faults("platform", reboot_ms=100, cut_zones=["c"])
    with Callers(entries=[maintained.entries["c"]], count=2) as callers:
        maintained.put("upkeep", maintenance(max_concurrent=3, return_timeout_s=60))
        wait_for(lambda: maintained.returned("a") >= 2, "the other zones are done")
        held = wait_for(lambda: maintained.find_held("a", "t-c1"), "it is silent for long")
        assert held["status"] == "draining"
        assert "t-c1" not in maintained.reboots()
    assert set(callers.outcomes) == {"ran"}
    maintained.fleet.set_faults("platform", reboot_ms=100)
    maintained.wait_for_wave("a")
    assert maintained.reboots() == dict.fromkeys(maintained.targets, 1)
    assert maintained.cut() == 0


def test_a_wave_halts_when_an_instance_does_not_come_back(maintained: Maintained) -> None:
    # The third target never comes back from its reboot, perhaps because of what the wave brings.
    # The wave stops there and says why, instead of taking down one target after another.
    maintained.start(targets_per_zone=2)
    names = sorted(maintained.targets)
    lost = names[2]
    maintained.fleet.set_faults("platform", reboot_ms=100, never_return=[lost])
    maintained.put(
        "upkeep", maintenance(max_concurrent=1, return_timeout_s=1, max_failed_returns=1)
    )
    wait_for(lambda: (maintained.wave("a") or {}).get("halted"), "the wave halts")
    status = maintained.status("a")
    assert "did not come back" in status["waves"]["desk"]["reason"]
    assert "did not come back" in status["failed"][lost]
    assert status["drains"] == {}


def test_an_entry_instance_that_was_restarted_in_order_holds_no_drain(
    maintained: Maintained,
) -> None:
    # An operator restarts an entry process under its own id. It finishes its requests and says
    # that it has left. Did it end without a word, drains in its zone would wait for the process
    # that is gone: the platform never says that it is terminated.
    maintained.start(targets_per_zone=1)
    maintained.entries["b"].close()
    maintained.add_entry("b", zone="b")
    maintained.put("upkeep", maintenance())
    assert maintained.wait_for_wave("a")["returned"] == 3


def test_a_newcomer_takes_no_callers_before_drains_wait_for_it(fleet: Fleet) -> None:
    # The log refuses the newcomer's join. If it took callers all the same, a drain that starts
    # now would not wait for it, and its callers would be cut when their target is stopped.
    fleet.start_platform()
    fleet.set_faults("platform", refuse_appends=True)
    settings = fleet.folder / "e-a.toml"
    settings.write_text(fleet.entry_settings("e-a", zone="a"), encoding="utf-8")
    newcomer = fleet.spawn("e-a", "entry", f"--settings={settings}")
    wait_for(lambda: "lease_not_renewed" in named_events(newcomer), "its join is refused")
    assert "listening" not in named_events(newcomer)
    fleet.set_faults("platform")
    wait_for(newcomer.find_listening, "it takes callers")


def named_events(process: Process) -> set[str]:
    return {str(event.get("event")) for event in process.events()}
