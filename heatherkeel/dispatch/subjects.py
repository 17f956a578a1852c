"""Imports every part of dispatching, so that its handlers are registered."""

from __future__ import annotations

import heatherkeel.dispatch.jobs
import heatherkeel.dispatch.orders
import heatherkeel.dispatch.tickets
import heatherkeel.dispatch.ticks
import heatherkeel.dispatch.workers  # noqa: F401
