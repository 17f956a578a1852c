"""Homes of queues: set once, whatever services later versions of the configuration name."""

from __future__ import annotations

from heatherkeel.ownership.partitions import Layout
from heatherkeel.ownership.queue_homes import (
    MAX_BYTES,
    QueueHome,
    QueueHomes,
    decode_queue_homes,
    extend_queue_homes,
)
from heatherkeel.platform.operator import Queue

LAYOUT = Layout(shares={"portal": (0, 1), "desk": (2,)})


def make_queue(service: str, *, name: str = "quotes", path: str = "/q/") -> Queue:
    """Return a queue."""
    return Queue(name=name, host="a.example", path_prefix=path, service=service)


def test_queue_keeps_its_home_when_it_gets_another_service() -> None:
    """Guards against a job that is looked for where another service's jobs are."""
    homes = extend_queue_homes(QueueHomes(), [make_queue("portal")], LAYOUT)
    assert extend_queue_homes(homes, [make_queue("desk")], LAYOUT) is homes
    assert homes.find_service(make_queue("desk")) == "portal"


def test_queue_is_known_by_its_address_and_not_by_its_name() -> None:
    """Guards against a second home of a path whose queue was renamed."""
    homes = extend_queue_homes(QueueHomes(), [make_queue("portal")], LAYOUT)
    renamed = make_queue("desk", name="offers")
    homes = extend_queue_homes(homes, [renamed], LAYOUT)
    assert homes.find_service(renamed) == "portal"
    (home,) = homes.homes.values()
    assert home == QueueHome(service="portal", names=("quotes", "offers"))


def test_new_queue_has_no_home_before_it_is_stored() -> None:
    """Guards against two instances that accept a job by different versions."""
    homes = extend_queue_homes(QueueHomes(), [make_queue("portal")], LAYOUT)
    assert homes.find_service(make_queue("desk", path="/new/")) is None


def test_queues_have_their_own_services_before_any_home_is_stored() -> None:
    """Guards against refusing all jobs while an earlier release owns the fleet."""
    assert QueueHomes().find_service(make_queue("portal")) == "portal"


def test_queue_of_a_service_without_partitions_gets_no_home() -> None:
    homes = extend_queue_homes(QueueHomes(), [make_queue("unknown")], LAYOUT)
    assert not homes.homes and homes.revision == 1


def test_unused_home_is_dropped_and_set_anew() -> None:
    homes = extend_queue_homes(QueueHomes(), [make_queue("portal")], LAYOUT)
    dropped = extend_queue_homes(homes, [], LAYOUT, unused={make_queue("portal").address()})
    assert not dropped.homes and dropped.revision == 2
    again = extend_queue_homes(dropped, [make_queue("desk")], LAYOUT)
    assert again.find_service(make_queue("desk")) == "desk"


def test_queues_beyond_the_size_of_a_record_get_no_home() -> None:
    """Guards against a record that the store refuses for good, with all that follows it."""
    queues = [make_queue("portal", name=f"n{i}", path=f"/{i:060}/") for i in range(2000)]
    homes = extend_queue_homes(QueueHomes(), queues, LAYOUT)
    assert 0 < len(homes.homes) < len(queues)
    assert len(homes.encode()) < 2 * MAX_BYTES
    assert homes.find_service(queues[0]) == "portal" and homes.find_service(queues[-1]) is None


def test_homes_are_stored_and_malformed_ones_are_told() -> None:
    homes = extend_queue_homes(QueueHomes(), [make_queue("portal")], LAYOUT)
    assert decode_queue_homes(homes.encode()).unwrap() == homes
    assert decode_queue_homes(b"{").is_err()
