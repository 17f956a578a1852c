"""Over all entry instances together, a target never has more requests than slots."""

from __future__ import annotations

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from heatherkeel.catalogue.models import RequestLimits
from heatherkeel.core.node import LocalState, NodeState
from heatherkeel.membership.models import EntryLeave, EntryRenew
from heatherkeel.requests import limits
from heatherkeel.requests.const import SHARE_GRACE_MS
from heatherkeel.requests.effects import Send
from heatherkeel.requests.events import AttemptResult

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
        self.log.put_pool(100)
        self.log.put_service(limits=RequestLimits(deadline_ms=DEADLINE_MS, max_queued=0))
        self.log.admit(3)
        self.version = 1
        self.nodes: list[NodeState] = []
        self.renewals: dict[int, list[tuple[int, int]]] = {}
        self.sent = 0

    def _node(self, number: int) -> NodeState:
        return self.nodes[number % len(self.nodes)]

    @rule(zone=st.sampled_from(ZONES), name=st.integers(0, 3))
    def join(self, zone: str, name: int) -> None:
        """Start a process; one of the same id and zone may still be running."""
        instance = f"{zone}{name}"
        if len(self.nodes) >= 8:
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
        self.renewals.setdefault(id(node), []).append(renewal)

    @precondition(lambda self: self.nodes)
    @rule(number=st.integers(0, 7), count=st.integers(1, 12))
    def fold(self, number: int, count: int) -> None:
        node = self._node(number)
        catch_up(node, self.log, count)
        for offset, until_ms in self.renewals.get(id(node), []):
            entry = node.fleet.membership.entries.get(node.local.instance)
            own = entry is not None and entry.incarnation == node.local.incarnation
            if own and offset <= node.fleet.next_offset:
                lease = node.local.lease
                lease.valid_until_ms = max(lease.valid_until_ms, until_ms)

    @precondition(lambda self: self.nodes)
    @rule()
    def everyone_follows(self) -> None:
        for number in range(len(self.nodes)):
            self.fold(number, 1_000)
            self.renew(number)

    @precondition(lambda self: self.nodes)
    @rule(number=st.integers(0, 7), count=st.integers(1, 24))
    def send(self, number: int, count: int) -> None:
        for _ in range(count):
            self.sent += 1
            ask(self._node(number), self.log, f"r{self.sent}")

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

    @rule(version=st.sampled_from([2, 4, SLOTS]))
    def edit_slots(self, version: int) -> None:
        service = RequestLimits(slots_per_worker=version, deadline_ms=DEADLINE_MS, max_queued=0)
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
    max_examples=60,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)
TestSharedTargets = SharedTargets.TestCase


def test_shares_grow_back_once_all_have_acknowledged() -> None:
    # Of two entry instances in one zone, one leaves. The other may use the slots of both, but
    # not before a third one, elsewhere, has seen it too: it could still count them as its own.
    log = Log()
    log.put_pool(100)
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


def test_a_share_that_shrank_is_acknowledged_when_the_surplus_has_ended() -> None:
    # One entry instance uses all 8 slots when a second one joins. It may not say that it gave
    # any up while the 8 requests still run, or the target would soon have 12.
    log = Log()
    log.put_pool(100)
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
