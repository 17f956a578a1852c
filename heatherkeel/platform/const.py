"""Paths, headers and names of the platform."""

from __future__ import annotations

from typing import Final

SETTINGS_VARIABLE: Final = "HEATHERKEEL_NODE_FILE"
READINESS_PATH: Final = "/heatherkeel/readyz"
DEADLINE_HEADER: Final = "heatherkeel-deadline-ms"

CONFIG_TOPIC: Final = "keyed.op"
WORKERS_TOPIC: Final = "keyed.servers"
STATUS_TOPIC: Final = "keyed.status"
CONFIG_KEY: Final = "config"
WAVE_PREFIX: Final = "wave/"

CONNECT_TIMEOUT_S: Final = 0.7
"""Longest wait for a new connection, in seconds. The first packet of one to a full queue is sent
again after a second, so a longer wait would only meet a machine that is gone."""
KEEP_ALIVE_S: Final = 60.0
"""How long an idle connection is kept, in seconds: new ones to workers are priced."""
