"""Workers of an unreliable fleet, and calls to them that are in flight."""

from __future__ import annotations

from dataclasses import dataclass, field

from heatherkeel.dispatch.models import Run
from heatherkeel.dispatch.worker import Worker
from heatherkeel.platform.workers import Listing

from .simulated_workers import SimulatedWorker


@dataclass
class FleetWorker(SimulatedWorker):
    """An incarnation of a worker that may be unreachable or missing in lists."""

    service: str = "portal"
    is_dark: bool = False
    """It runs on, but nothing reaches it and it answers nothing."""
    is_named: bool = True
    """The list of machines names it."""
    is_address_reused: bool = False
    """After its end, another incarnation answers at its address."""
    begun_ms: dict[str, int] = field(default_factory=dict)


@dataclass(eq=False, kw_only=True)
class Call:
    """An order that was sent and isn't answered."""

    worker: Worker
    """The incarnation as the owner knew it when its session sent the order."""
    target: FleetWorker
    run: Run
    is_start: bool
    token: int
    until_ms: int
    delivered: bool = False
    reason: str = ""


@dataclass(eq=False, kw_only=True)
class ListingCall:
    """A listing that a worker has made and that its owner hasn't received."""

    worker: Worker
    sent_ms: int
    listing: Listing
    acknowledged: int
