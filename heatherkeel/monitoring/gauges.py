"""Metrics that are read from an entry process's state at scrape time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from enum import StrEnum

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from heatherkeel.core.node import NodeState
from heatherkeel.core.state import FleetState
from heatherkeel.entry.node import Node
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.membership.const import MAX_ACK_TIMEOUT_MS
from heatherkeel.membership.local import PeersState
from heatherkeel.pools.models import Instance, InstanceStatus

from .readiness import Readiness


class TargetState(StrEnum):
    """The state of a target as seen by this entry instance."""

    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"
    EJECTED = "ejected"
    DRAINING = "draining"
    QUIESCED = "quiesced"
    STOPPED = "stopped"
    FAILED = "failed"


def count_live_peers(peers: PeersState, *, now_ms: int) -> int:
    """Count the linked peers whose heartbeats arrive; `now_ms` is the monotonic time."""
    return sum(
        1 for peer in peers.peers.values() if now_ms - peer.last_heartbeat_ms <= MAX_ACK_TIMEOUT_MS
    )


def count_leases(fleet: FleetState) -> int:
    """Count the entry instances whose routing lease is valid at the fold's time.

    Without the log that time doesn't advance, so lost instances are still counted.
    """
    return sum(
        1 for entry in fleet.membership.entries.values() if entry.lease_until_ms >= fleet.now_ms
    )


def count_targets(state: NodeState, *, now_ms: int) -> dict[TargetState, int]:
    """Count targets by state; `now_ms` is the local monotonic time."""
    found = Counter(
        _target_state(state, name, instance, now_ms)
        for name, instance in state.fleet.pools.instances.items()
    )
    return {kind: found[kind] for kind in TargetState}


def _target_state(state: NodeState, name: str, instance: Instance, now_ms: int) -> TargetState:
    if instance.status is not InstanceStatus.SERVING:
        return TargetState(instance.status.value)
    target = state.local.routing.targets.get(name)
    if target is None:
        return TargetState.SERVING
    if target.gone:
        return TargetState.GONE
    if target.leaving:
        return TargetState.LEAVING
    return TargetState.EJECTED if target.ejected_until_ms > now_ms else TargetState.SERVING


class NodeGauges(Collector):
    """Collects the gauges and peer counters of an entry process."""

    def __init__(self, *, node: Node, readiness: Readiness, in_progress: Callable[[], int]) -> None:
        self.node = node
        self.readiness = readiness
        self.in_progress = in_progress

    def collect(self) -> Iterator[Metric]:
        """Return the current metrics."""
        fleet = self.node.state.fleet
        peers = self.node.state.local.peers
        yield _gauge("offset_in_force", "Offset of the last record folded.", fleet.next_offset - 1)
        live_peers = count_live_peers(peers, now_ms=monotonic_ms())
        yield _gauge("live_peers", "Linked peers whose heartbeats arrive.", live_peers)
        yield _gauge("leases", "Entry instances that hold a routing lease.", count_leases(fleet))
        yield _gauge("catalogue_entries", "Entries in force.", len(fleet.catalogue.entries))
        yield _gauge("log_reachable", "1 if the log answered.", self.node.follower.reachable)
        yield _gauge("ready", "1 if ready.", not self.readiness.find_reasons())
        yield _gauge("requests_in_progress", "Requests of callers.", self.in_progress())
        yield self._targets()
        yield from _peer_counters(peers)

    def _targets(self) -> GaugeMetricFamily:
        family = GaugeMetricFamily("heatherkeel_targets", "Targets by state.", labels=["state"])
        for kind, count in count_targets(self.node.state, now_ms=monotonic_ms()).items():
            family.add_metric([kind.value], count)
        return family


def _peer_counters(peers: PeersState) -> Iterator[Metric]:
    yield _counter(
        "peer_messages_undecodable", "Peer messages that don't decode.", peers.undecodable
    )
    yield _counter("peer_connections_replaced", "Silent connections to peers.", peers.replaced)
    yield _counter("relayed_records", "Records that came from a peer.", peers.relayed)


def _counter(name: str, text: str, value: int) -> CounterMetricFamily:
    return CounterMetricFamily(f"heatherkeel_{name}", text, value=float(value))


def _gauge(name: str, text: str, value: float) -> GaugeMetricFamily:
    return GaugeMetricFamily(f"heatherkeel_{name}", text, value=float(value))
