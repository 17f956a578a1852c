"""Addresses of the other processes that this process knows."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import trio

from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.ownership.holders import HolderCache

from .const import ANSWER_TIMEOUT_S, MAX_KNOWN_PEERS, PEER_KEPT_MS, REPORTS_KEPT_MS


@dataclass(kw_only=True, slots=True)
class KnownPeer:
    """A process, and what it said last."""

    heard_ms: int
    """When it was last heard, or else first named."""
    answered_ms: int | None = None
    """When it last answered; None if it never did."""
    reaches_store: bool = False
    is_unresponsive: bool = False
    """It didn't answer the last question."""
    zone: str = ""
    link_mbps: float = 0.0
    """Bandwidth of its link, in Mbit/s; 0 if it isn't known."""

    def is_alive(self) -> bool:
        """Return whether it was heard recently."""
        return self.answered_ms is not None and monotonic_ms() - self.answered_ms < REPORTS_KEPT_MS

    def has_said(self, *, reaches_store: bool) -> bool:
        """Return whether it has said so recently."""
        return self.is_alive() and self.reaches_store is reaches_store


class PeerList:
    """Owners of partitions, and all processes that were heard or named.

    The store's list names owners only, and a process that the store refuses can't read it. After a
    restart it would know nobody, although others know its address.
    """

    def __init__(
        self,
        *,
        holders: HolderCache,
        find_own: Callable[[], str],
        seeds: Sequence[str] = (),
        zone: str = "",
    ) -> None:
        self.holders = holders
        self.seeds = seeds
        """Addresses that the settings name."""
        self.find_own = find_own
        self.zone = zone
        self.known: dict[str, KnownPeer] = {}
        self.random = random.Random()

    def record_named(self, addresses: Iterable[str]) -> None:
        """Record addresses that another process or the settings have named."""
        for address in addresses:
            if address and address != self.find_own():
                self.known.setdefault(address, KnownPeer(heard_ms=monotonic_ms()))
        while len(self.known) > MAX_KNOWN_PEERS:
            del self.known[min(self.known, key=lambda address: self.known[address].heard_ms)]

    def record_answer(self, address: str, *, reaches_store: bool) -> None:
        """Record that a process has answered, and whether it reaches the store."""
        self.record_named([address])
        peer = self.known[address]
        peer.heard_ms = peer.answered_ms = monotonic_ms()
        peer.reaches_store = reaches_store
        peer.is_unresponsive = False

    def record_place(self, address: str, *, zone: str, link_mbps: float) -> None:
        """Record a known process's zone and link."""
        self.known[address].zone = zone
        self.known[address].link_mbps = link_mbps

    def record_silence(self, address: str) -> None:
        """Record that a process hasn't answered."""
        if address in self.known:
            self.known[address].is_unresponsive = True

    def list_addresses(self) -> list[str]:
        """Return the known addresses, those that reach the store first.

        Among equal ones, those with large links come first, which have large records early and can
        hand them over; then those of the own zone. The rest is random, which spreads the load.
        """
        since_ms = monotonic_ms() - PEER_KEPT_MS
        self.known = {
            address: peer for address, peer in self.known.items() if peer.heard_ms >= since_ms
        }
        own = self.find_own()
        addresses = [*({*self.holders.addresses.values(), *self.known, *self.seeds} - {own})]
        self.random.shuffle(addresses)
        return sorted(addresses, key=self._rank)

    def list_alive(self, count: int) -> list[str]:
        """Return a few processes that were heard recently, to name them to others.

        Processes that were only named are left out, so that removed ones are forgotten.
        """
        alive = [address for address, peer in self.known.items() if peer.is_alive()]
        return self.random.sample(alive, min(count, len(alive)))

    async def async_find_owners(self) -> None:
        """Read the store's list of owners if no other process is known yet."""
        if self.list_addresses():
            return
        with trio.move_on_after(ANSWER_TIMEOUT_S):
            await self.holders.async_refresh()

    def list_random(self, count: int) -> list[str]:
        """Return a few known addresses, whatever was said of them."""
        addresses = self.list_addresses()
        return self.random.sample(addresses, min(count, len(addresses)))

    def _rank(self, address: str) -> tuple[int, float, bool]:
        """Return the rank of an address among those to ask; low ranks are asked first."""
        peer = self.known.get(address)
        if peer is None:
            return self._rank_contact(address), 0.0, True
        return self._rank_contact(address), -peer.link_mbps, peer.zone != self.zone

    def _rank_contact(self, address: str) -> int:
        peer = self.known.get(address)
        if peer is None:
            return 1
        if peer.is_unresponsive:
            return 2
        if peer.has_said(reaches_store=True):
            return 0
        return 2 if peer.has_said(reaches_store=False) else 1
