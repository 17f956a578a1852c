"""Imports all placement policies, which registers them."""

from __future__ import annotations

from typing import Final

import heatherkeel.jobs.best_fit
import heatherkeel.jobs.first_fit  # noqa: F401

from .policy import POLICIES

DEFAULT_POLICY: Final = "best_fit"

__all__ = ["DEFAULT_POLICY", "POLICIES"]
