"""Tests of the periodic work of an entry process."""

from __future__ import annotations

import pytest

from heatherkeel.core.node import LocalState, NodeState
from heatherkeel.entry.duties_acknowledge import find_quiesced_drains
from heatherkeel.entry.duties_coordinate import has_returned
from heatherkeel.entry.duties_health import find_report, find_suspects
from heatherkeel.entry.duties_listing import find_reports
from heatherkeel.fleetlog.models import (
    ListedInstance,
    ListedState,
    OperationAction,
    OperationState,
    OperationStatus,
)
from heatherkeel.membership.models import EntryGone
from heatherkeel.pools.models import Health, InstanceGone, InstanceObserved, Source
from heatherkeel.requests.local import TargetView
from heatherkeel.waves.models import Returned
from heatherkeel.waves.status import explain_drains
from tests.fleets import FoldedLog, join, small_fleet


def node_of(log: FoldedLog, entry_id: str = "entry-a") -> NodeState:
    incarnation = log.state.membership.entries[entry_id].incarnation
    local = LocalState(instance=entry_id, zone="a", incarnation=incarnation)
    return NodeState(local=local, fleet=log.state)


def line(
    name: str = "a0",
    *,
    state: ListedState = ListedState.LIVE,
    boot_id: str = "a0.1",
    role: str = "worker",
) -> ListedInstance:
    return ListedInstance(
        id=name,
        role=role,
        zone="a",
        rack="r",
        address="127.0.0.1:2",
        state=state,
        boot_id=boot_id,
    )


def test_a_drain_is_not_acknowledged_with_a_request_in_progress() -> None:
    # An early acknowledgement would let the target stop during the request.
    log = small_fleet()
    log.must(log.drain("a0"))
    node = node_of(log)
    view = TargetView(address="127.0.0.1:2", zone="a", pool="desk", in_progress=1)
    node.local.routing.targets["a0"] = view
    assert find_quiesced_drains(node, 0) == []
    view.in_progress = 0
    assert [item.instance for item in find_quiesced_drains(node, 0)] == ["a0"]


def test_an_acknowledgement_is_not_repeated() -> None:
    log = small_fleet()
    log.must(log.drain("a0"))
    log.must(log.ack("entry-a", "a0"))
    assert find_quiesced_drains(node_of(log), 0) == []


def test_a_drain_lists_entry_instances_it_waits_for_and_what_ends_the_wait() -> None:
    # Operators must see whether the end of a lease or the platform's report ends the wait for an
    # unresponsive entry instance: the lease suffices in another zone, but not in the drain's own.
    log = small_fleet()
    log.must(log.drain("a0"))
    log.must(log.drain("b0"))
    log.must(log.ack("entry-a", "a0"))
    log.wait(12_000)
    drains = explain_drains(log.state)
    assert [wait.entry for wait in drains["a0"].waiting] == ["entry-b", "entry-c"]
    assert "entry-b (b), silent for 2 s: its lease ends this" in drains["a0"].reason
    assert "entry-b (b), silent for 2 s: the platform's word" in drains["b0"].reason


@pytest.mark.parametrize(
    ("state", "boot_id", "expected"),
    [
        (OperationState.RUNNING, "a0.2", False),
        (OperationState.DONE, "a0.1", False),
        (OperationState.DONE, "a0.2", True),
        (OperationState.OVERTAKEN, "a0.1", False),
        (OperationState.OVERTAKEN, "a0.5", True),
    ],
)
def test_only_a_boot_after_the_operation_counts_as_a_return(
    state: OperationState, boot_id: str, expected: bool
) -> None:
    # The list lags and may show an earlier boot as live. Sending requests to it would cut them
    # off when the instance stops.
    operation = OperationStatus(
        id="d",
        instance="a0",
        action=OperationAction.REBOOT,
        boot_id="a0.1",
        state=state,
        new_boot_id="a0.2",
    )
    assert has_returned(operation, line(boot_id=boot_id)) is expected
    assert not has_returned(operation, line(boot_id=boot_id, state=ListedState.DOWN))


def test_down_is_reported_only_for_the_current_boot() -> None:
    log = small_fleet()
    earlier = line(state=ListedState.DOWN, boot_id="a0.0")
    current = line(state=ListedState.DOWN)
    assert list(find_reports(log.state, {"a0": earlier}, observer="entry-a")) == []
    [(_, body)] = find_reports(log.state, {"a0": current}, observer="entry-a")
    assert isinstance(body, InstanceObserved)
    assert (body.health, body.source) == (Health.FAILED, Source.PLATFORM)


def test_only_terminated_ends_an_entry_instance() -> None:
    # An entry instance that is down or not listed may be partitioned and still serve its zone.
    # Only `terminated` ends it, with all its incarnations.
    log = small_fleet()
    log.must(join("entry-a", incarnation="2"))
    for state in (ListedState.LIVE, ListedState.LEAVING, ListedState.DOWN):
        listed = {"entry-a": line("entry-a", state=state, role="entry")}
        assert list(find_reports(log.state, listed, observer="entry-b")) == []
    listed = {"entry-a": line("entry-a", state=ListedState.TERMINATED, role="entry")}
    bodies = [body for _, body in find_reports(log.state, listed, observer="entry-b")]
    assert [body.incarnation for body in bodies if isinstance(body, EntryGone)] == [
        "entry-a.2",
        "entry-a.1",
    ]


def test_a_terminated_target_is_forgotten() -> None:
    log = small_fleet()
    listed = {"a0": line(state=ListedState.TERMINATED)}
    [(_, body)] = find_reports(log.state, listed, observer="entry-a")
    assert body == InstanceGone(instance="a0", boot_id="a0.1")


def test_a_target_that_fails_requests_is_a_suspect() -> None:
    node = node_of(small_fleet())
    view = TargetView(address="127.0.0.1:2", zone="a", pool="desk", failures=100)
    node.local.routing.targets["a0"] = view
    assert find_suspects(node) == ["a0"]
    instance = node.fleet.pools.instances["a0"]
    report = find_report("a0", instance, line(), is_healthy=False, observer="entry-a")
    assert report == InstanceObserved(instance="a0", health=Health.FAILED, observer="entry-a")
    assert find_report("a0", instance, line(), is_healthy=True, observer="entry-a") is None


def test_a_failed_target_returns_with_a_new_boot_or_recovers() -> None:
    log = small_fleet()
    log.must(
        InstanceObserved(
            instance="a0", health=Health.FAILED, observer="entry-a", source=Source.PLATFORM
        )
    )
    instance = log.instance("a0")
    assert find_suspects(node_of(log)) == ["a0"]
    again = find_report("a0", instance, line(boot_id="a0.2"), is_healthy=True, observer="entry-a")
    assert again == Returned(instance="a0", expected_version=instance.version, boot_id="a0.2")
    same = find_report("a0", instance, line(), is_healthy=True, observer="entry-a")
    assert same == InstanceObserved(instance="a0", health=Health.HEALTHY, observer="entry-a")
    down = line(state=ListedState.DOWN)
    assert find_report("a0", instance, down, is_healthy=True, observer="entry-a") is None
