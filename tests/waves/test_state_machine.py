"""Random interleavings of events around drains, over several replicas.

Entry processes decide to send from their own lagging copies of the state. None may reach a target
that is quiesced, stopped or moved according to the log.
"""

from __future__ import annotations

import msgspec
from hypothesis import HealthCheck, event, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from heatherkeel.catalogue.models import EntryPut, MaintenanceEntry, Reserve, ServiceEntry
from heatherkeel.core.envelopes import encode, seal
from heatherkeel.core.models import Accepted, RecordBody, Rejected, RejectReason, Settled
from heatherkeel.core.reducer import fold
from heatherkeel.core.state import FleetState, canonical_bytes, from_canonical_bytes
from heatherkeel.membership.models import EntryGone, EntryLeave, EntryRenew
from heatherkeel.pools.models import Health, InstanceObserved, InstanceStatus, Source
from heatherkeel.waves.coordinator import next_steps
from heatherkeel.waves.models import (
    DrainStart,
    MoveJoin,
    Purpose,
    Returned,
    ReturnFailed,
    ReturnFailure,
    StopIssued,
)
from heatherkeel.waves.policy import POLICIES, plan
from tests.fleets import OWNER, FoldedLog, join, maintenance, service, small_fleet
from tests.waves.processes import EntryProcess

DEADLINE_MS = 5_000
INSTANCES = ("a0", "a1", "b0", "b1", "c0", "c1")
REACHABLE = (InstanceStatus.SERVING, InstanceStatus.DRAINING, InstanceStatus.FAILED)
INSTANCE = st.sampled_from(INSTANCES)
SLOT = st.integers(0, 5)
REPLICA = st.integers(0, 2)


class DrainMachine(RuleBasedStateMachine):
    """Operators, coordinators, entry processes and the platform around one log."""

    log: FoldedLog
    processes: list[EntryProcess]
    replicas: list[FleetState]

    @initialize(min_serving=st.integers(0, 4), reserve=st.sampled_from(Reserve))
    def begin(self, min_serving: int, reserve: Reserve) -> None:
        self.log = small_fleet(min_serving=min_serving, reserve=reserve)
        entry = maintenance(max_concurrent=3)
        self.log.put("care", msgspec.structs.replace(entry, wave_request=1))
        self.snapshots: dict[int, bytes] = {}
        self.replicas = [FleetState() for _ in range(3)]
        self.delayed: list[bytes] = []
        self.starts = 1
        self.processes = [
            EntryProcess(id=f"entry-{zone}", zone=zone, incarnation=f"entry-{zone}.1")
            for zone in "abc"
        ]
        for replica in [*self.replicas, *(process.replica for process in self.processes)]:
            for record in self.log.records:
                fold(replica, record)
        self.note_snapshot()

    # Delivery of records to the log: at once, late, twice, or never.

    def note_snapshot(self) -> None:
        self.snapshots[self.log.state.next_offset] = canonical_bytes(self.log.state)

    def append(self, data: bytes) -> None:
        self.log.append(data)
        self.note_snapshot()

    def say(self, body: RecordBody | None, delivery: str = "once") -> None:
        """Append a record; its answer may be lost, and the record come late or twice."""
        if body is None:
            return
        data = encode(seal(body, author="test", now_ms=self.log.now_ms))
        if delivery in ("once", "twice"):
            self.append(data)
        if delivery in ("twice", "late"):
            self.delayed.append(data)

    @rule(index=st.integers(0, 20), garbage=st.sampled_from([b"", b"{", b'{"id":"x"}']))
    def deliver_late(self, index: int, garbage: bytes) -> None:
        late = self.delayed
        self.append(late.pop(index % len(late)) if late else garbage)

    @rule(duration_ms=st.sampled_from([1, 1_000, 4_000, 9_000, 16_000, 61_000]))
    def let_time_pass(self, duration_ms: int) -> None:
        self.log.now_ms += duration_ms
        for process in self.processes:
            process.end_requests(self.log.now_ms)

    # Operators.

    @rule(
        replica=REPLICA,
        min_serving=st.integers(0, 4),
        reserve=st.sampled_from(Reserve),
    )
    def edit_budget(self, replica: int, min_serving: int, reserve: Reserve) -> None:
        self._edit(replica, "stock", service(min_serving=min_serving, reserve=reserve))

    @rule(replica=REPLICA, most=st.integers(1, 3), failed=st.integers(1, 2), wave=st.integers(0, 3))
    def edit_maintenance(self, replica: int, most: int, failed: int, wave: int) -> None:
        entry = maintenance(max_concurrent=most, max_failed_returns=failed)
        self._edit(replica, "care", msgspec.structs.replace(entry, wave_request=wave))

    def _edit(self, replica: int, name: str, entry: ServiceEntry | MaintenanceEntry) -> None:
        version = self.replicas[replica].catalogue.versions.get(name, 0)
        self.say(EntryPut(name=name, expected_version=version, team=OWNER, entry=entry))

    # Coordinators, each with a copy of the state that may lag behind the log.

    @rule(replica=REPLICA, name=st.sampled_from(sorted(POLICIES)), is_stale=st.booleans())
    def plan_drains(self, replica: int, name: str, is_stale: bool) -> None:
        if not is_stale:
            self.read_on(replica, 1_000)
        fleet = self.replicas[replica]
        for body in plan(fleet, self.log.now_ms, coordinator="planner", policy_name=name):
            self.say(body)

    @rule(
        replica=REPLICA,
        is_stale=st.booleans(),
        instance_id=INSTANCE,
        purpose=st.sampled_from(Purpose),
        to_pool=st.sampled_from(["desk", "spare"]),
        delivery=st.sampled_from(["once", "once", "twice", "late"]),
    )
    def start_drain(
        self,
        replica: int,
        is_stale: bool,
        instance_id: str,
        purpose: Purpose,
        to_pool: str,
        delivery: str,
    ) -> None:
        if not is_stale:
            self.read_on(replica, 1_000)
        fleet = self.replicas[replica]
        wave = fleet.waves.waves.get("desk")
        body = DrainStart(
            instance=instance_id,
            expected_version=fleet.pools.instances[instance_id].version,
            coordinator="coordinator",
            purpose=purpose,
            to_pool=to_pool if purpose is Purpose.MOVE else None,
            wave=1 if wave is None else wave.number,
        )
        self.say(body, delivery)

    @rule(replica=REPLICA, delivery=st.sampled_from(["once", "once", "twice", "late"]))
    def take_next_steps(self, replica: int, delivery: str) -> None:
        fleet = self.replicas[replica]
        for step in next_steps(fleet, fleet.now_ms, coordinator="coordinator"):
            self.say(step, delivery)

    @rule(
        replica=REPLICA,
        is_stale=st.booleans(),
        instance_id=INSTANCE,
        step=st.sampled_from([StopIssued, MoveJoin]),
        delivery=st.sampled_from(["once", "late"]),
    )
    def hurry(
        self,
        replica: int,
        is_stale: bool,
        instance_id: str,
        step: type[StopIssued | MoveJoin],
        delivery: str,
    ) -> None:
        if not is_stale:
            self.read_on(replica, 1_000)
        version = self.replicas[replica].pools.instances[instance_id].version
        body = step(instance=instance_id, expected_version=version, coordinator="hasty")
        self.say(body, delivery)

    # Platform.

    @rule(instance_id=INSTANCE, is_new=st.booleans())
    def return_instance(self, instance_id: str, is_new: bool) -> None:
        instance = self.log.instance(instance_id)
        boot_id = f"{instance_id}.{self.log.state.next_offset}" if is_new else instance.boot_id
        version = instance.version
        self.say(Returned(instance=instance_id, expected_version=version, boot_id=boot_id))

    @rule(cause=st.sampled_from(ReturnFailure))
    def fail_returns(self, cause: ReturnFailure) -> None:
        for instance_id in INSTANCES:
            instance = self.log.instance(instance_id)
            if instance.status is InstanceStatus.STOPPED:
                version = instance.version
                self.say(ReturnFailed(instance=instance_id, expected_version=version, cause=cause))

    @rule(
        instance_id=INSTANCE,
        slot=SLOT,
        health=st.sampled_from(Health),
        source=st.sampled_from(Source),
    )
    def observe(self, instance_id: str, slot: int, health: Health, source: Source) -> None:
        observer = self._process(slot).id
        self.say(
            InstanceObserved(instance=instance_id, health=health, observer=observer, source=source)
        )

    # Entry processes.

    def _process(self, slot: int) -> EntryProcess:
        return self.processes[slot % len(self.processes)]

    @rule(
        slot=SLOT,
        count=st.integers(1, 60),
        delivery=st.sampled_from(["once", "once", "once", "twice", "late"]),
    )
    def work(self, slot: int, count: int, delivery: str) -> None:
        """Read on, and acknowledge what can be."""
        process = self._process(slot)
        process.catch_up(self.log.records, count)
        self.say(process.acknowledgement(), delivery)

    @rule(replica=REPLICA, is_returning=st.booleans())
    def go_on(self, replica: int, is_returning: bool) -> None:
        """Let everybody who isn't cut off do what is due, as on an ordinary day."""
        for slot in range(len(self.processes)):
            self.renew(slot, "once")
            self.work(slot, 1_000, "once")
        self.read_on(replica, 1_000)
        self.take_next_steps(replica, "once")
        for instance_id in INSTANCES:
            if is_returning and self.log.instance(instance_id).status is InstanceStatus.STOPPED:
                self.return_instance(instance_id, True)

    @rule(slot=SLOT, instance_id=INSTANCE, is_cut=st.booleans())
    def send(self, slot: int, instance_id: str, is_cut: bool) -> None:
        process = self._process(slot)
        if process.may_send(instance_id, self.log.now_ms):
            process.send(instance_id, self.log.now_ms, DEADLINE_MS)
            process.is_cut = is_cut

    @rule(slot=SLOT)
    def answer(self, slot: int) -> None:
        self._process(slot).requests.clear()

    @rule(slot=SLOT, delivery=st.sampled_from(["once", "twice", "late"]))
    def renew(self, slot: int, delivery: str) -> None:
        process = self._process(slot)
        if process.is_cut or not process.is_running:
            return
        offset = process.replica.next_offset - 1
        body = EntryRenew(
            instance=process.id, incarnation=process.incarnation, offset_in_force=offset
        )
        self.say(body, delivery)

    @rule(slot=SLOT, is_cut=st.booleans())
    def cut_or_heal(self, slot: int, is_cut: bool) -> None:
        self._process(slot).is_cut = is_cut

    @rule(slot=SLOT, is_killed=st.booleans())
    def replace(self, slot: int, is_killed: bool) -> None:
        """Start a new run under an id; the old one may live on, cut off."""
        old = self._process(slot)
        if len(self.processes) > 6 or not old.is_running:
            return
        if is_killed:
            self._kill(old)
        else:
            old.is_cut = True
        self.starts += 1
        body = join(old.id, incarnation=str(self.starts))
        process = EntryProcess(id=old.id, zone=old.zone, incarnation=body.incarnation)
        self.processes.append(process)
        self.say(body)

    @rule(slot=SLOT)
    def leave(self, slot: int) -> None:
        process = self._process(slot)
        if process.requests or process.is_cut or not process.is_running:
            return
        self._kill(process)
        self.say(EntryLeave(instance=process.id, incarnation=process.incarnation))

    @rule(slot=SLOT)
    def platform_says_terminated(self, slot: int) -> None:
        process = self._process(slot)
        if not process.is_running:
            self.say(EntryGone(instance=process.id, incarnation=process.incarnation))

    def _kill(self, process: EntryProcess) -> None:
        process.is_running = False
        process.requests.clear()

    # Replicas.

    @rule(replica=REPLICA, count=st.integers(1, 200))
    def read_on(self, replica: int, count: int) -> None:
        state = self.replicas[replica]
        start = state.next_offset
        for record in self.log.records[start : start + count]:
            fold(state, record)
            assert canonical_bytes(state) == self.snapshots[state.next_offset]

    @rule(replica=REPLICA, pick=st.integers(0, 10_000))
    def restore(self, replica: int, pick: int) -> None:
        offsets = sorted(self.snapshots)
        data = self.snapshots[offsets[pick % len(offsets)]]
        self.replicas[replica] = from_canonical_bytes(data)
        assert canonical_bytes(self.replicas[replica]) == data

    # Invariants.

    @invariant()
    def no_record_is_decided_twice(self) -> None:
        """Look for a second decision; a copy may be refused as expired after the first one."""
        decided = [
            effect.record_id
            for effect in self.log.effects
            if isinstance(effect, Settled) and not _is_expired(effect)
        ]
        assert len(decided) == len(set(decided))

    @invariant()
    def nobody_reaches_a_target_that_was_let_go(self) -> None:
        for process in self.processes:
            for instance_id, instance in self.log.state.pools.instances.items():
                if not process.may_send(instance_id, self.log.now_ms):
                    continue
                assert instance.status in REACHABLE, (process.incarnation, instance_id)
                assert process.replica.pools.instances[instance_id].pool == instance.pool

    @invariant()
    def no_request_in_progress_is_cut(self) -> None:
        for process in self.processes:
            for request in process.requests:
                instance = self.log.instance(request.instance)
                assert instance.status in REACHABLE, (process.incarnation, request.instance)
                assert instance.pool == request.pool

    def teardown(self) -> None:
        for kind in sorted({type(effect).__name__ for effect in self.log.effects}):
            event(kind)
        accepted = {
            effect.kind
            for effect in self.log.effects
            if isinstance(effect, Settled) and isinstance(effect.outcome, Accepted)
        }
        for kind in sorted(accepted):
            event(f"accepted {kind}")


def _is_expired(settled: Settled) -> bool:
    outcome = settled.outcome
    return isinstance(outcome, Rejected) and outcome.reason is RejectReason.EXPIRED


class WaveMachine(DrainMachine):
    """Without cuts and replacements waves get further: to halts, and to stops after a loss."""

    replace = None  # type: ignore[assignment]
    leave = None  # type: ignore[assignment]
    cut_or_heal = None  # type: ignore[assignment]
    platform_says_terminated = None  # type: ignore[assignment]
    restore = None  # type: ignore[assignment]
    send = None  # type: ignore[assignment]
    answer = None  # type: ignore[assignment]
    deliver_late = None  # type: ignore[assignment]


SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=120,
    stateful_step_count=80,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)
DrainMachine.TestCase.settings = SETTINGS
WaveMachine.TestCase.settings = SETTINGS
TestDrains = DrainMachine.TestCase
TestWaves = WaveMachine.TestCase
