"""Chooses which peers a process is linked with."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from heatherkeel.core.node import NodeState

from .const import CROSS_ZONE_PEERS, LEARNED_KEPT_MS, LOST_KEPT_MS


def choose_peers(
    node: NodeState, *, seeds: Iterable[str], own: str, now_ms: int
) -> dict[str, bool]:
    """Return the addresses to be linked with; the value tells whether it is the own zone.

    All of the own availability zone, where records are relayed, and a few of each other one,
    another few for each process: with all of them the heartbeats of a large fleet would cost
    more than everything else that control does.
    """
    chosen = dict.fromkeys(seeds, True)
    by_zone: dict[str, list[str]] = {}
    for entry in node.fleet.membership.entries.values():
        by_zone.setdefault(entry.zone, []).append(entry.peer_address)
    for zone, addresses in by_zone.items():
        if zone == node.local.zone:
            chosen.update(dict.fromkeys(addresses, True))
            continue
        addresses.sort(key=lambda address: _rank(node.local.instance, address))
        chosen.update(dict.fromkeys(addresses[:CROSS_ZONE_PEERS], False))
    for peer in node.local.peers.peers.values():
        if peer.zone == node.local.zone and now_ms - peer.heard_ms < LEARNED_KEPT_MS:
            chosen[peer.address] = True
    chosen.pop(own, None)
    chosen.pop("", None)
    return chosen


def forget_lost_peers(node: NodeState, now_ms: int) -> None:
    """Forget peers that were replaced: with hundreds of restarts a day they would add up."""
    peers = node.local.peers.peers
    for name in [name for name, peer in peers.items() if now_ms - peer.heard_ms > LOST_KEPT_MS]:
        del peers[name]


def _rank(instance: str, address: str) -> bytes:
    return hashlib.sha256(f"{instance}/{address}".encode()).digest()
