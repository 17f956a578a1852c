"""Tests that a target never has more requests than slots across all entry instances."""

from __future__ import annotations

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from heatherkeel.catalogue.models import RequestLimits
from heatherkeel.core.node import LocalState, NodeState, reduce
from heatherkeel.core.state import canonical_bytes, from_canonical_bytes
from heatherkeel.membership.events import JoiningInstanceStarted, StartedFromPeer
from heatherkeel.membership.models import EntryLeave, EntryRenew
from heatherkeel.requests import limits
from heatherkeel.requests.const import SHARE_GRACE_MS
from heatherkeel.requests.effects import Queued, Send
from heatherkeel.requests.events import AttemptResult, FleetRestored

from .fleet import LEASE_MS, ZONES, Log, ask, catch_up, end, incarnation_of, make_node

SLOTS = 8
DEADLINE_MS = 5_000


class SharedTargets(RuleBasedStateMachine):
    """Entry instances join, leave, are cut off, lag, and are replaced while still running.

    Every process folds the log at its own pace and takes all the slots that it believes to have.
    """

    def __init__(self) -> None:
        super().__init__()
        self.log = Log()
        self.log.put_service(limits=RequestLimits(deadline_ms=DEADLINE_MS, max_queued=0))
        self.log.admit(3)
        self.version = 1
        self.nodes: list[NodeState] = []
        self.renewals: dict[str, list[tuple[int, int]]] = {}
        self.sent = 0

    def _node(self, number: int) -> NodeState:
        return self.nodes[number % len(self.nodes)]

    @rule(zone=st.sampled_from(ZONES[:2]), name=st.integers(0, 1))
    def join(self, zone: str, name: int) -> None:
        """Start a process; one of the same id and zone may still be running."""
        instance = f"{zone}{name}"
        if len(self.nodes) >= 6:
            return
        incarnation = str(len(self.log.records))
        node = NodeState(local=LocalState(instance=instance, zone=zone, incarnation=incarnation))
        self.log.join(instance, zone, incarnation=incarnation)
        catch_up(node, self.log)
        node.local.lease.valid_until_ms = self.log.now_ms + LEASE_MS
        self.nodes.append(node)

    @precondition(lambda self: self.nodes)
    @rule(number=st.integers(0, 7))
    def renew(self, number: int) -> None:
        node = self._node(number)
        body = EntryRenew(
            instance=node.local.instance,
            incarnation=node.local.incarnation,
            offset_in_force=node.fleet.next_offset - 1,
            shares_offset=limits.acknowledged_offset(node),
        )
        self.log.append(body, author=node.local.instance)
        renewal = (len(self.log.records), self.log.now_ms + LEASE_MS)
        self.renewals.setdefault(node.local.incarnation, []).append(renewal)

    @precondition(lambda self: self.nodes)
    @rule(number=st.integers(0, 7), count=st.integers(1, 12))
    def fold(self, number: int, count: int) -> None:
        node = self._node(number)
        catch_up(node, self.log, count)
        for offset, until_ms in self.renewals.get(node.local.incarnation, []):
            entry = node.fleet.membership.entries.get(node.local.instance)
            own = entry is not None and entry.incarnation == node.local.incarnation
            if own and offset <= node.fleet.next_offset:
                lease = node.local.lease
                lease.valid_until_ms = max(lease.valid_until_ms, until_ms)

    @precondition(lambda self: self.nodes)
    @rule(but=st.integers(0, 15))
    def most_follow(self, but: int) -> None:
        """All, or all but one, fold the whole log and renew twice, so that shares may grow."""
        for _ in range(2):
            for number in range(len(self.nodes)):
                if number != but:
                    self.renew(number)
            for number in range(len(self.nodes)):
                if number != but:
                    self.fold(number, 1_000)

    @precondition(lambda self: self.nodes)
    @rule(number=st.integers(0, 7), all_send=st.booleans())
    def send(self, number: int, all_send: bool) -> None:
        """Send until no slot is left that the sender believes to have."""
        for node in self.nodes if all_send else [self._node(number)]:
            for _ in range(3 * SLOTS):
                self.sent += 1
                ask(node, self.log, f"r{self.sent}")

    @precondition(lambda self: self.nodes)
    @rule(number=st.integers(0, 7), count=st.integers(1, 24))
    def finish(self, number: int, count: int) -> None:
        node = self._node(number)
        for request_id in sorted(node.local.routing.requests)[:count]:
            end(node, self.log, request_id)

    @precondition(lambda self: self.nodes)
    @rule(number=st.integers(0, 7))
    def leave(self, number: int) -> None:
        node = self._node(number)
        for request_id in list(node.local.routing.requests):
            end(node, self.log, request_id)
        body = EntryLeave(instance=node.local.instance, incarnation=node.local.incarnation)
        self.log.append(body, author=node.local.instance)
        self.nodes.remove(node)

    @rule(slots=st.sampled_from([4, SLOTS]))
    def edit_slots(self, slots: int) -> None:
        service = RequestLimits(slots_per_worker=slots, deadline_ms=DEADLINE_MS, max_queued=0)
        self.log.put_service(version=self.version, limits=service)
        self.version += 1

    @rule(passed_ms=st.sampled_from([500, 4_000, LEASE_MS + SHARE_GRACE_MS + 1]))
    def wait(self, passed_ms: int) -> None:
        """Let time pass: requests end at their deadlines, replaced processes with their leases."""
        self.log.now_ms += passed_ms
        for node in self.nodes:
            for request_id, request in list(node.local.routing.requests.items()):
                if request.deadline_at_ms <= self.log.now_ms:
                    end(node, self.log, request_id, AttemptResult.CALLER_GONE)
        newest = {node.local.instance: node for node in self.nodes}
        self.nodes = [
            node
            for node in self.nodes
            if newest[node.local.instance] is node
            or node.local.lease.valid_until_ms + SHARE_GRACE_MS > self.log.now_ms
        ]

    @invariant()
    def slots_hold(self) -> None:
        for name in ("t0", "t1", "t2"):
            used = sum(
                node.local.routing.targets[name].in_progress
                for node in self.nodes
                if name in node.local.routing.targets
            )
            assert used <= SLOTS, (name, used)


SharedTargets.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
)
TestSharedTargets = SharedTargets.TestCase


def test_shares_grow_back_once_all_have_acknowledged() -> None:
    # After one of two entry instances in a zone left, the other one must not use its slots before
    # an entry instance in another zone has acknowledged the change.
    log = Log()
    log.put_service()
    log.admit(1)
    for name, zone in (("e1", "east"), ("e2", "east"), ("w1", "west")):
        log.join(name, zone)
    node = make_node(log)
    target = node.local.routing.targets["t0"]
    acknowledge(log, "e1", "e2", "w1")
    catch_up(node, log)
    assert limits.share(node, "t0", target) == 3
    log.append(EntryLeave(instance="e2", incarnation=incarnation_of("e2")), author="e2")
    acknowledge(log, "e1")
    catch_up(node, log)
    assert limits.share(node, "t0", target) == 3
    acknowledge(log, "w1")
    catch_up(node, log)
    assert limits.share(node, "t0", target) == 6


def acknowledge(log: Log, *instances: str) -> None:
    newest = len(log.records) - 1
    for instance in instances:
        body = EntryRenew(
            instance=instance,
            incarnation=incarnation_of(instance),
            offset_in_force=newest,
            shares_offset=newest,
        )
        log.append(body, author=instance)


def test_a_reduced_share_is_acknowledged_after_excess_requests_ended() -> None:
    # A second entry instance joins while the first one uses all 8 slots. If the first acknowledged
    # its smaller share before requests end, the target would have 12 requests.
    log = Log()
    log.put_service()
    log.admit(1)
    log.join("e1", "east")
    node = make_node(log)
    sends = [effect for n in range(8) for effect in ask(node, log, str(n))]
    assert all(isinstance(effect, Send) for effect in sends)
    log.join("e2", "east")
    catch_up(node, log)
    assert limits.acknowledged_offset(node) == len(log.records) - 2
    for number in range(4):
        end(node, log, str(number))
    assert limits.acknowledged_offset(node) == len(log.records) - 1


def test_an_expired_lease_keeps_its_share_in_other_zones_for_the_grace_period() -> None:
    # Requests that a disconnected entry instance sent to another zone before its lease expired may
    # run until the grace period ends. Its slots must not be reused before that.
    log = Log()
    log.put_service()
    log.admit(1)
    log.join("e1", "east")
    log.join("w1", "west")
    node = make_node(log)
    acknowledge(log, "e1", "w1")
    log.now_ms += LEASE_MS + SHARE_GRACE_MS
    acknowledge(log, "e1")
    acknowledge(log, "e1")
    catch_up(node, log)
    assert limits.share(node, "t0", node.local.routing.targets["t0"]) == 6
    log.now_ms += 1
    acknowledge(log, "e1")
    acknowledge(log, "e1")
    catch_up(node, log)
    assert limits.share(node, "t0", node.local.routing.targets["t0"]) == 8


def test_a_request_that_may_outlive_the_grace_period_stays_in_its_zone() -> None:
    log = Log()
    log.put_service(limits=RequestLimits(deadline_ms=30_000))
    log.admit(2)
    log.join("n1", "north")
    node = make_node(log, "n1", "north")
    node.local.lease.valid_until_ms = log.now_ms + 1_000
    [short] = ask(node, log, "short", deadline_ms=1_000 + SHARE_GRACE_MS)
    [long] = ask(node, log, "long", deadline_ms=1_000 + SHARE_GRACE_MS + 1)
    assert isinstance(short, Send) and isinstance(long, Queued)


def test_a_restored_process_has_no_share_before_all_acknowledge_it() -> None:
    # A process restored from a snapshot doesn't know the earlier views. Another entry instance may
    # still use one of them and its slots.
    log = Log()
    log.put_service()
    log.admit(1)
    log.join("e1", "east")
    log.join("e2", "east")
    restored_from = make_node(log, "e1")
    node = NodeState(local=LocalState(instance="e2", zone="east", incarnation=incarnation_of("e2")))
    node.fleet = from_canonical_bytes(canonical_bytes(restored_from.fleet))
    reduce(node, FleetRestored(now_ms=log.now_ms))
    target = node.local.routing.targets["t0"]
    assert limits.share(node, "t0", target) == 0
    acknowledge(log, "e1", "e2")
    catch_up(node, log)
    assert limits.share(node, "t0", target) == 4


def test_a_sponsor_divides_its_share_with_its_joining_instance() -> None:
    # An instance that joins from a peer while the platform is down is in no view. It may only use
    # a slot that its sponsor no longer uses.
    log = Log()
    log.put_service()
    log.admit(1)
    log.join("e1", "east")
    sponsor = make_node(log)
    joining = NodeState(
        local=LocalState(instance="e2", zone="east", incarnation=incarnation_of("e2"))
    )
    joining.fleet = from_canonical_bytes(canonical_bytes(sponsor.fleet))
    reduce(joining, FleetRestored(now_ms=log.now_ms))
    started = StartedFromPeer(
        now_ms=log.now_ms, sponsor=incarnation_of("e1"), sent_ms=log.now_ms, needed_offset=0
    )
    reduce(joining, started)
    sponsored = JoiningInstanceStarted(
        now_ms=log.now_ms, instance="e2", incarnation=incarnation_of("e2")
    )
    reduce(sponsor, sponsored)
    shares = [
        limits.share(node, "t0", node.local.routing.targets["t0"]) for node in (sponsor, joining)
    ]
    assert shares == [7, 1]


def test_a_replaced_process_still_counts_when_its_replacement_has_left() -> None:
    # A process that was replaced but still runs may use its share after the replacement left. A
    # joining instance must not use the same slots.
    log = Log()
    log.put_service()
    log.admit(1)
    log.join("e1", "east", incarnation="old")
    log.join("e1", "east", incarnation="new")
    log.append(EntryLeave(instance="e1", incarnation="new"), author="e1")
    log.join("e2", "east")
    node = make_node(log, "e2")
    target = node.local.routing.targets["t0"]
    assert limits.share(node, "t0", target) == 0
    log.now_ms += LEASE_MS + SHARE_GRACE_MS + 1
    acknowledge(log, "e2", "e2")
    catch_up(node, log)
    assert limits.share(node, "t0", target) == 8
