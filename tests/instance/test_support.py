"""Settings that ask for what isn't supported."""

from __future__ import annotations

import logging
from pathlib import Path

import pytest
from result import Ok

from heatherkeel.instance.support import report_unsupported
from heatherkeel.platform.settings import load_instance_settings

SETTINGS = """
nodeName = "edge-1"
ip = "10.0.0.1"
zone = "a"
internalPortRange = [7060, 7075]
{mode}
[listenAddrs]
frontend = "10.0.0.1:1"
readiness = "10.0.0.1:2"
[platform]
address = "10.0.0.9:3"
"""


@pytest.mark.parametrize(
    ("mode", "events"),
    [
        ("", []),
        ('controlMode = "push"', []),
        ('controlMode = "heartbeat"', ["control_mode_unsupported"]),
    ],
)
def test_unsupported_control_mode_is_logged(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, mode: str, events: list[str]
) -> None:
    """Guards against taking silently that orders reach no worker."""
    file = tmp_path / "settings.toml"
    file.write_text(SETTINGS.format(mode=mode))
    loaded = load_instance_settings(str(file))
    assert isinstance(loaded, Ok)
    with caplog.at_level(logging.ERROR):
        report_unsupported(loaded.ok_value)
    assert [getattr(row, "event", "") for row in caplog.records] == events
