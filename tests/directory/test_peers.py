"""Tests of the list of other processes."""

from __future__ import annotations

from heatherkeel.directory.const import MAX_KNOWN_PEERS
from heatherkeel.directory.peers import PeerList
from heatherkeel.ownership.holders import HolderCache
from heatherkeel.platform.store import StoreClient

OWN = "own:1"


def make_peers(*owners: str) -> PeerList:
    """Return a list with these owners of partitions."""
    holders = HolderCache(store=StoreClient(address="127.0.0.1:1"))
    holders.addresses = dict(enumerate(owners))
    return PeerList(holders=holders, find_own=lambda: OWN)


def test_process_that_asked_is_listed_beside_owners() -> None:
    """Guards against asking owners only, all of which the store may refuse."""
    peers = make_peers("owner:1", OWN)
    peers.record_answer("asker:1", reaches_store=True)
    assert peers.list_addresses() == ["asker:1", "owner:1"]


def test_processes_that_reach_the_store_come_first_and_silent_ones_last() -> None:
    peers = make_peers("owner:1")
    peers.record_answer("refused:1", reaches_store=False)
    peers.record_answer("silent:1", reaches_store=True)
    peers.record_silence("silent:1")
    peers.record_answer("served:1", reaches_store=True)
    listed = peers.list_addresses()
    assert listed[:2] == ["served:1", "owner:1"]
    assert set(listed[2:]) == {"refused:1", "silent:1"}


def test_removed_process_is_not_named_to_others() -> None:
    """Guards against addresses that processes name to each other for good."""
    peers = make_peers()
    peers.record_named(["removed:1"])
    peers.record_answer("alive:1", reaches_store=True)
    assert peers.list_alive(8) == ["alive:1"]


def test_number_of_known_processes_is_bounded() -> None:
    peers = make_peers()
    peers.record_named(f"host:{number}" for number in range(MAX_KNOWN_PEERS + 10))
    assert len(peers.list_addresses()) == MAX_KNOWN_PEERS


def test_processes_with_larger_links_come_first_and_then_those_of_the_own_zone() -> None:
    """Guards against asking three processes on small links, which wait for the same record."""
    peers = make_peers()
    peers.zone = "a"
    for address, zone, link_mbps in (
        ("small:1", "a", 5.0),
        ("large:1", "b", 100.0),
        ("large:2", "a", 100.0),
        ("small:2", "b", 5.0),
    ):
        peers.record_answer(address, reaches_store=True)
        peers.record_place(address, zone=zone, link_mbps=link_mbps)
    assert peers.list_addresses() == ["large:2", "large:1", "small:1", "small:2"]
