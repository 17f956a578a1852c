"""Selects the peers that a process is linked with."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from heatherkeel.core.node import NodeState

from .const import CROSS_ZONE_PEERS, DISCOVERED_PEER_KEPT_MS, LOST_PEER_KEPT_MS


def select_peers(
    node: NodeState, *, seeds: Iterable[str], own: str, now_ms: int
) -> dict[str, bool]:
    """Return the addresses to link with; the value is True for seeds and the own zone.

    All peers of the own zone are linked, as records are relayed there. Of each other zone only a
    few are, which differ between processes; this bounds the heartbeats of a large fleet.
    """
    selected = dict.fromkeys(seeds, True)
    by_zone: dict[str, list[str]] = {}
    for entry in node.fleet.membership.entries.values():
        by_zone.setdefault(entry.zone, []).append(entry.peer_address)
    for zone, addresses in by_zone.items():
        if zone == node.local.zone:
            selected.update(dict.fromkeys(addresses, True))
            continue
        addresses.sort(key=lambda address: _rank(node.local.instance, address))
        selected.update(dict.fromkeys(addresses[:CROSS_ZONE_PEERS], False))
    for peer in node.local.peers.peers.values():
        if (
            peer.zone == node.local.zone
            and now_ms - peer.last_heartbeat_ms < DISCOVERED_PEER_KEPT_MS
        ):
            selected[peer.address] = True
    selected.pop(own, None)
    selected.pop("", None)
    return selected


def remove_lost_peers(node: NodeState, now_ms: int) -> None:
    """Remove peers without recent heartbeats, so that replaced ones don't accumulate."""
    peers = node.local.peers.peers
    for name in [
        name for name, peer in peers.items() if now_ms - peer.last_heartbeat_ms > LOST_PEER_KEPT_MS
    ]:
        del peers[name]


def _rank(instance: str, address: str) -> bytes:
    return hashlib.sha256(f"{instance}/{address}".encode()).digest()
