"""Imports every module with event handlers, so that they are registered."""

from __future__ import annotations

import heatherkeel.dispatch.forwarding
import heatherkeel.dispatch.jobs
import heatherkeel.dispatch.limits
import heatherkeel.dispatch.orders
import heatherkeel.dispatch.relocation
import heatherkeel.dispatch.tickets
import heatherkeel.dispatch.ticks
import heatherkeel.dispatch.workers  # noqa: F401
