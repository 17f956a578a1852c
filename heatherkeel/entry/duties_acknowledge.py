"""Acknowledges drains of targets to which this process no longer sends requests."""

from __future__ import annotations

import logging

from result import Err

from heatherkeel.core.node import NodeState
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.membership.sponsor import are_sponsored_instances_quiesced
from heatherkeel.waves.models import AckedDrain, DrainAck

from .const import MAX_DRAINS_PER_ACKNOWLEDGEMENT, WRITE_TIMEOUT_S
from .node import Node

_LOGGER = logging.getLogger(__name__)


class Acknowledger:
    """Records which draining instances have no requests in progress from this process."""

    def __init__(self, *, node: Node) -> None:
        self.node = node

    async def async_acknowledge(self) -> None:
        """Acknowledge all drains that this process no longer uses, in one record."""
        drains = find_quiesced_drains(self.node.state, monotonic_ms())
        if not drains:
            return
        body = DrainAck(
            entry=self.node.settings.instance.id,
            incarnation=self.node.incarnation,
            instances=tuple(drains[:MAX_DRAINS_PER_ACKNOWLEDGEMENT]),
        )
        outcome = await self.node.writer.async_write(body, timeout_s=WRITE_TIMEOUT_S)
        if isinstance(outcome, Err):
            _LOGGER.warning(
                "acknowledgement: %s", outcome.err_value, extra={"event": "drain_not_acknowledged"}
            )


def find_quiesced_drains(node: NodeState, now_ms: int) -> list[AckedDrain]:
    """Return the drains that wait for this process although it has nothing in progress.

    A premature acknowledgement would let a target stop during a request. A count of 0 is final:
    the drain is already folded, so the router no longer picks the instance, and it counts each
    request when it picks the target, without an await in between.

    The drain may be cancelled before the record is folded. The record names the drain's id, so
    the fold doesn't apply it to a later one.
    """
    routing = node.local.routing
    drains: list[AckedDrain] = []
    for instance_id, drain in sorted(node.fleet.waves.drains.items()):
        if node.local.incarnation not in drain.waiting:
            continue
        if not are_sponsored_instances_quiesced(node, drain.id, now_ms):
            continue
        view = routing.targets.get(instance_id)
        if view is None or view.in_progress == 0:
            drains.append(AckedDrain(instance=instance_id, drain=drain.id))
    return drains


def is_done_sending(node: NodeState) -> bool:
    """Return whether no request is in progress, here or at sponsored instances.

    Valid only after the callers' port is closed, when no request can start.
    """
    in_progress = any(view.in_progress for view in node.local.routing.targets.values())
    return not in_progress and not node.local.peers.sponsored
