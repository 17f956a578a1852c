"""Services are assigned to partitions evenly and permanently."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from heatherkeel.ownership.partitions import Layout, decode_layout, extend_layout

NAMES = st.lists(st.text("abcdef", min_size=1, max_size=6), unique=True, min_size=1, max_size=8)


def make_layout(*, pools: int, machines: int, partitions: int = 12) -> Layout:
    """Return a layout of equally large pools."""
    return extend_layout(
        Layout(),
        services=[f"pool{number}" for number in range(pools)],
        pools={
            f"pool{pool}": [f"m{pool * machines + number}" for number in range(machines)]
            for pool in range(pools)
        },
        partitions=partitions,
    )


def test_small_pools_have_one_partition_each_all_different() -> None:
    """Small pools must not share a partition while others have none."""
    layout = make_layout(pools=4, machines=7)
    assert sorted(layout.shares.values()) == [(0,), (1,), (2,), (3,)]


def test_large_pools_are_shared_evenly() -> None:
    """The calls for a large pool at its demand peak exceed one owner's capacity."""
    layout = make_layout(pools=4, machines=90)
    assert all(len(shares) == 4 for shares in layout.shares.values())
    used = Counter(number for shares in layout.shares.values() for number in shares)
    assert max(used.values()) - min(used.values()) <= 1


def test_neighbours_in_a_rack_belong_to_different_shares() -> None:
    """The loss of a rack must affect every share alike."""
    layout = make_layout(pools=4, machines=90)
    rack = [f"m{number}" for number in range(8)]
    shares = Counter(layout.partition_of_machine("pool0", machine) for machine in rack)
    assert set(shares.values()) == {2}


def count_free_by_share(layout: Layout, *, service: str, pinned: set[str]) -> Counter[int | None]:
    """Count the machines that are available to each share of a service."""
    return Counter(
        layout.partition_of_machine(service, machine)
        for machine in layout.places
        if machine not in pinned
    )


def test_long_running_tasks_of_other_services_affect_all_shares_alike() -> None:
    """Guards against one share of every service losing the machines that another's tasks pin."""
    layout = make_layout(pools=4, machines=90)
    for first in layout.partitions_of("pool0"):
        for second in layout.partitions_of("pool1"):
            pinned = {
                machine
                for service, partition, count in (("pool0", first, 34), ("pool1", second, 18))
                for machine in [
                    name
                    for name in layout.places
                    if layout.partition_of_machine(service, name) == partition
                ][:count]
            }
            free = count_free_by_share(layout, service="pool2", pinned=pinned)
            assert min(free.values()) >= 60


def test_every_service_distributes_machines_evenly() -> None:
    layout = make_layout(pools=4, machines=90)
    for service in layout.shares:
        free = count_free_by_share(layout, service=service, pinned=set())
        assert set(free.values()) == {90}


def test_older_stored_layout_keeps_its_distribution() -> None:
    """Processes of two versions must assign each worker to the same partition."""
    layout = make_layout(pools=4, machines=90)
    stored = layout.encode().replace(b',"is_mixed":true', b"")
    earlier = decode_layout(stored).unwrap()
    extended = extend_layout(
        earlier, services=["pool0", "pool9"], pools={"pool9": []}, partitions=12
    )
    for known in (earlier, extended):
        shares = known.partitions_of("pool0")
        for machine, place in layout.places.items():
            assert known.partition_of_machine("pool0", machine) == shares[place % len(shares)]


@given(before=NAMES, added=NAMES, jobs=NAMES, machines=st.integers(1, 300))
def test_extending_a_layout_moves_nothing(
    before: list[str], added: list[str], jobs: list[str], machines: int
) -> None:
    """Adding a service must not move jobs or workers of others to another partition."""
    names = [f"m{number}" for number in range(machines)]
    first = extend_layout(Layout(), services=before, pools={"a": names}, partitions=12)
    then = extend_layout(
        first, services=sorted({*before, *added}), pools={"b": names[::-1]}, partitions=12
    )
    for service in before:
        for job in jobs:
            assert first.partition_of_job(service, job) == then.partition_of_job(service, job)
        for machine in [*names, "later"]:
            known = first.partition_of_machine(service, machine)
            assert known == then.partition_of_machine(service, machine)


@given(services=NAMES, machines=st.integers(1, 300), partitions=st.integers(1, 24))
def test_layout_round_trips_and_avoids_the_fleet_partition(
    services: list[str], machines: int, partitions: int
) -> None:
    names = [f"m{number}" for number in range(machines)]
    layout = extend_layout(Layout(), services=services, pools={"a": names}, partitions=partitions)
    assert decode_layout(layout.encode()).unwrap() == layout
    used = layout.all_partitions()
    assert used[0] >= 0
    assert used[-1] < max(1, partitions - 1)


def test_service_that_is_not_laid_out_has_no_partition() -> None:
    layout = make_layout(pools=1, machines=3)
    assert layout.partition_of_job("elsewhere", "00aa") is None
    assert layout.partition_of_machine("elsewhere", "m1") is None
