"""Reports settings that ask for what this version doesn't support."""

from __future__ import annotations

import logging

from heatherkeel.platform.settings import PUSH, InstanceSettings

_LOGGER = logging.getLogger(__name__)


def report_unsupported(settings: InstanceSettings) -> None:
    """Log a way of giving orders that isn't supported; orders are sent to the workers anyway."""
    if settings.control_mode != PUSH:
        _LOGGER.error(
            "workers are to receive orders in a way that isn't supported; sending them",
            extra={"event": "control_mode_unsupported", "mode": settings.control_mode},
        )
