"""Settings files that change while a process runs."""

from __future__ import annotations

import logging
import signal
from functools import partial
from pathlib import Path

import pytest
import trio

from heatherkeel.instance.process import InstanceProcess
from heatherkeel.instance.reloading import SettingsWatch
from heatherkeel.platform.settings import load_instance_settings

SETTINGS = """
nodeName = "edge-1"
ip = "127.0.0.1"
zone = "a"
internalPortRange = [0, 0]
seeds = []
contracts = []
[listenAddrs]
frontend = "127.0.0.1:0"
readiness = "127.0.0.1:0"
[bounds]
configApplyMs = 2000
statusS = 120
[platform]
address = "127.0.0.1:1"
"""


def make_watch(file: Path) -> SettingsWatch:
    """Return the watch of a process that isn't started."""
    file.write_text(SETTINGS)
    settings = load_instance_settings(str(file)).unwrap()
    return SettingsWatch(file=str(file), process=InstanceProcess(settings=settings))


@pytest.fixture(name="file")
def fixture_file(tmp_path: Path) -> Path:
    """Return the path of a settings file."""
    return tmp_path / "settings.toml"


def run_with_watch(file: Path, check: object) -> None:
    """Call a function with a watch, within an event loop."""

    async def async_test() -> None:
        watch = make_watch(file)
        try:
            check(watch)  # type: ignore[operator]
        finally:
            watch.process.links.close()

    trio.run(async_test)


def test_changed_settings_take_effect_without_a_signal(
    file: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a process that asks for no keys after the operator has demanded them."""
    caplog.set_level(logging.INFO)

    def check(watch: SettingsWatch) -> None:
        changed = SETTINGS.replace("contracts = []", 'contracts = ["tenants"]')
        file.write_text(changed.replace("2000", "3000"))
        watch.check()
        assert watch.process.directory.state.needs_keys
        assert watch.process.directory.state.apply_ms == 3000
        (line,) = [r for r in caplog.records if getattr(r, "event", "") == "reload"]
        assert sorted(line.__dict__["applied"]) == ["bounds.config_apply_ms", "contracts"]

    run_with_watch(file, check)


def test_division_of_machines_is_switched_by_the_contracts(file: Path) -> None:
    """Guards against machines that are divided where the operator hasn't agreed to it."""

    def check(watch: SettingsWatch) -> None:
        assert not watch.process.directory.state.divides_machines
        file.write_text(SETTINGS.replace("contracts = []", 'contracts = ["pressure"]'))
        watch.check()
        assert watch.process.directory.state.divides_machines

    run_with_watch(file, check)


def test_setting_that_needs_a_restart_is_logged_once(
    file: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)

    def check(watch: SettingsWatch) -> None:
        file.write_text(SETTINGS.replace('zone = "a"', 'zone = "b"'))
        watch.check()
        watch.check()
        (line,) = [r for r in caplog.records if getattr(r, "event", "") == "reload"]
        assert line.__dict__["after_restart"] == ["zone"]

    run_with_watch(file, check)


@pytest.mark.parametrize("content", ["", SETTINGS[:150], "contracts = 7", "\x00"])
def test_faulty_file_leaves_the_former_settings_in_force(
    file: Path, content: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a half-written file that ends the process or resets its settings."""

    def check(watch: SettingsWatch) -> None:
        before = watch.settings
        file.write_text(content)
        watch.check()
        watch.check()
        assert watch.settings is before
        faults = [r for r in caplog.records if getattr(r, "event", "") == "settings_faulty"]
        assert len(faults) == 1

    run_with_watch(file, check)


def test_missing_file_leaves_the_former_settings_in_force(file: Path) -> None:
    def check(watch: SettingsWatch) -> None:
        before = watch.settings
        file.unlink()
        watch.check()
        assert watch.settings is before

    run_with_watch(file, check)


def test_signal_is_answered_by_a_reload_and_not_by_the_end_of_the_process(
    file: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)

    async def async_test() -> None:
        watch = make_watch(file)
        async with trio.open_nursery() as nursery:
            await watch.start(nursery)
            signal.raise_signal(signal.SIGHUP)
            with trio.fail_after(5):
                while not any(getattr(r, "event", "") == "reload" for r in caplog.records):
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        watch.process.links.close()

    trio.run(partial(async_test))


def test_unchanged_file_is_not_parsed_again(file: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a process that spends its processor on settings that stay the same."""
    parsed: list[str] = []

    def count_load(path: str) -> object:
        parsed.append(path)
        return load_instance_settings(path)

    monkeypatch.setattr("heatherkeel.instance.reloading.load_instance_settings", count_load)

    def check(watch: SettingsWatch) -> None:
        for _ in range(10):
            watch.check()
        assert len(parsed) == 1
        file.write_text(SETTINGS.replace("2000", "3000"))
        for _ in range(10):
            watch.check()
        assert len(parsed) == 2
        assert watch.process.directory.state.apply_ms == 3000
        watch.check(is_requested=True)
        assert len(parsed) == 3

    run_with_watch(file, check)
