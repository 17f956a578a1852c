"""JSON-lines logs on standard error."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


def set_up_logs(*, instance: str, zone: str, level: int = logging.INFO) -> None:
    """Write every log line as JSON, with the process's instance and availability zone."""
    handler = logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter(
        "{asctime}{levelname}{name}{message}",
        style="{",
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"instance": instance, "zone": zone},
    )
    handler.setFormatter(formatter)
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("httpcore").setLevel(logging.WARNING)
    logging.getLogger("hypercorn").setLevel(logging.WARNING)
