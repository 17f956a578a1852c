"""Imports every placement policy, so that it is registered."""

from __future__ import annotations

from typing import Final

import heatherkeel.jobs.best_fit
import heatherkeel.jobs.first_fit  # noqa: F401

from .policy import POLICIES

DEFAULT_POLICY: Final = "best_fit"

__all__ = ["DEFAULT_POLICY", "POLICIES"]
