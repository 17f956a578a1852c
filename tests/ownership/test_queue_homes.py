"""Homes of queues: set once, whatever services later versions of the configuration name."""

from __future__ import annotations

from heatherkeel.ownership.partitions import Layout
from heatherkeel.ownership.queue_homes import (
    PAGE_BYTES,
    HomePages,
    QueueHome,
    QueueHomes,
    decode_queue_homes,
)
from heatherkeel.platform.operator import Queue

LAYOUT = Layout(shares={"portal": (0, 1), "desk": (2,)})


def make_queue(service: str, *, name: str = "quotes", path: str = "/q/") -> Queue:
    """Return a queue."""
    return Queue(name=name, host="a.example", path_prefix=path, service=service)


def make_homes(*queues: Queue) -> HomePages:
    """Return the pages of these queues' homes."""
    pages = HomePages()
    pages.extend(queues, LAYOUT)
    return pages


def test_queue_keeps_its_home_when_it_gets_another_service() -> None:
    """Guards against a job that is looked for where another service's jobs are."""
    pages = make_homes(make_queue("portal"))
    assert pages.extend([make_queue("desk")], LAYOUT) == []
    assert pages.merge().find_service(make_queue("desk")) == "portal"


def test_queue_is_known_by_its_address_and_not_by_its_name() -> None:
    """Guards against a second home of a path whose queue was renamed."""
    pages = make_homes(make_queue("portal"))
    renamed = make_queue("desk", name="offers")
    assert pages.extend([renamed], LAYOUT) == [0]
    homes = pages.merge()
    assert homes.find_service(renamed) == "portal"
    (home,) = homes.homes.values()
    assert home == QueueHome(service="portal", names=("quotes", "offers"))


def test_new_queue_has_no_home_before_it_is_stored() -> None:
    """Guards against two instances that accept a job by different versions."""
    homes = make_homes(make_queue("portal")).merge()
    assert homes.find_service(make_queue("desk", path="/new/")) is None


def test_queues_have_their_own_services_before_any_home_is_stored() -> None:
    """Guards against refusing all jobs while an earlier release owns the fleet."""
    assert QueueHomes().find_service(make_queue("portal")) == "portal"


def test_queue_of_a_service_without_partitions_gets_no_home() -> None:
    homes = make_homes(make_queue("unknown")).merge()
    assert not homes.homes and homes.revision == 1


def test_two_queues_with_one_address_have_one_home() -> None:
    """Guards against a fleet's owner that ends over a configuration with a repeated address."""
    pages = make_homes(make_queue("portal"), make_queue("desk", name="offers"))
    (home,) = pages.merge().homes.values()
    assert home == QueueHome(service="portal", names=("quotes", "offers"))


def test_unused_home_is_dropped_and_set_anew() -> None:
    pages = make_homes(make_queue("portal"))
    assert pages.extend([], LAYOUT, unused={make_queue("portal").address()}) == [0]
    assert not pages.merge().homes and pages.merge().revision == 2
    pages.extend([make_queue("desk")], LAYOUT)
    assert pages.merge().find_service(make_queue("desk")) == "desk"


def test_every_queue_has_a_home_and_no_record_outgrows_the_store() -> None:
    """Guards against queues that take no jobs for good, since a record is full."""
    queues = [make_queue("portal", name=f"n{i}", path=f"/{i:060}/") for i in range(4000)]
    pages = make_homes(*queues)
    homes = pages.merge()
    assert all(homes.find_service(queue) == "portal" for queue in queues)
    assert max(len(page.encode()) for page in pages.pages.values()) < 2 * PAGE_BYTES


def test_one_more_queue_changes_one_page() -> None:
    """Guards against a change that each process reads together with all other homes."""
    queues = [make_queue("portal", name=f"n{i}", path=f"/{i:060}/") for i in range(1000)]
    pages = make_homes(*queues)
    assert len(pages.pages) > 2
    assert len(pages.extend([*queues, make_queue("desk")], LAYOUT)) == 1
    assert pages.merge().find_service(make_queue("desk")) == "desk"


def test_full_first_page_of_an_earlier_release_stays_as_it_is() -> None:
    """Guards against writing a large record anew with each queue."""
    queues = [make_queue("portal", name=f"n{i}", path=f"/{i:060}/") for i in range(1000)]
    pages = HomePages(pages={0: make_homes(*queues).merge()})
    assert pages.extend([*queues, make_queue("desk")], LAYOUT) == [1]
    homes = pages.merge()
    assert homes.find_service(queues[-1]) == "portal"
    assert homes.find_service(make_queue("desk")) == "desk"


def test_homes_are_stored_and_malformed_ones_are_told() -> None:
    homes = make_homes(make_queue("portal")).merge()
    assert decode_queue_homes(homes.encode()).unwrap() == homes
    assert decode_queue_homes(b"{").is_err()
