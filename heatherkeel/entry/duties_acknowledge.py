"""Acknowledges drains: this process has stopped sending, and nothing of its own is in progress."""

from __future__ import annotations

import logging

from result import Err

from heatherkeel.core.node import NodeState
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.membership.sponsor import are_sponsored_instances_quiesced
from heatherkeel.waves.models import AckedDrain, DrainAck

from .const import MAX_ACKNOWLEDGED_AT_ONCE, WRITE_TIMEOUT_S
from .node import Node

_LOGGER = logging.getLogger(__name__)


class Acknowledger:
    """Tells the fold which draining instances this process is done with."""

    def __init__(self, *, node: Node) -> None:
        self.node = node

    async def async_acknowledge(self) -> None:
        """Acknowledge in one record all drains that wait for this process without need."""
        quiet = find_quiet_drains(self.node.state, monotonic_ms())
        if not quiet:
            return
        body = DrainAck(
            entry=self.node.settings.instance.id,
            incarnation=self.node.incarnation,
            instances=tuple(quiet[:MAX_ACKNOWLEDGED_AT_ONCE]),
        )
        outcome = await self.node.writer.async_write(body, timeout_s=WRITE_TIMEOUT_S)
        if isinstance(outcome, Err):
            _LOGGER.warning(
                "acknowledgement: %s", outcome.err_value, extra={"event": "drain_not_acknowledged"}
            )


def find_quiet_drains(node: NodeState, now_ms: int) -> list[AckedDrain]:
    """Return the drains that wait for this process although it has nothing in progress.

    An acknowledgement that comes early lets a target be stopped under a request, and its caller
    is cut off. Two things make this one true for good. The drain was folded here, so the router
    of this loop, which reads the same state, picks the instance no more. And the router counts a
    request in the same step in which it picks the target, with no await in between, so that a
    count of 0 leaves no request that is picked but not yet counted.

    While the record is on its way the drain may be cancelled and requests be sent again. The
    record names the drain, and the fold takes it for no later one.
    """
    routing = node.local.routing
    quiet: list[AckedDrain] = []
    for instance_id, drain in sorted(node.fleet.waves.drains.items()):
        if node.local.incarnation not in drain.waiting:
            continue
        if not are_sponsored_instances_quiesced(node, drain.id, now_ms):
            continue
        view = routing.targets.get(instance_id)
        if view is None or view.in_progress == 0:
            quiet.append(AckedDrain(instance=instance_id, drain=drain.id))
    return quiet


def is_done_sending(node: NodeState) -> bool:
    """Say whether nothing is in progress, here or at a newcomer that only this process speaks for.

    Asked after the callers' port is closed, when nothing new can begin.
    """
    in_progress = any(view.in_progress for view in node.local.routing.targets.values())
    return not in_progress and not node.local.peers.sponsored
