"""Paths, headers, topics and keys of the platform, and connection timeouts."""

from __future__ import annotations

from typing import Final

SETTINGS_VARIABLE: Final = "HEATHERKEEL_NODE_FILE"
READINESS_PATH: Final = "/heatherkeel/readyz"
DEADLINE_HEADER: Final = "heatherkeel-deadline-ms"
KEY_HEADER: Final = "heatherkeel-key"
KEYS_CONTRACT: Final = "tenants"
"""Named in the settings where callers need keys."""
PRESSURE_CONTRACT: Final = "pressure"
"""Named in the settings where callers compete for too little capacity."""


CONFIG_TOPIC: Final = "keyed.op"
WORKERS_TOPIC: Final = "keyed.servers"
STATUS_TOPIC: Final = "keyed.status"
CONFIG_KEY: Final = "config"
WAVE_PREFIX: Final = "wave/"

CONNECT_TIMEOUT_S: Final = 0.7
"""Timeout for a new connection, in seconds; shorter than TCP's first retransmission after 1 s."""
KEEP_ALIVE_S: Final = 60.0
"""How long an idle connection is kept, in seconds; the platform charges for new ones to workers."""
