"""Tests that a key runs at most once and that each caller gets a correct outcome."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from heatherkeel.core.models import Effect, LogRecord
from heatherkeel.core.node import LocalEvent, LocalState, NodeState, reduce
from heatherkeel.core.registry import find_step_violations, find_violations
from heatherkeel.core.state import canonical_bytes, from_canonical_bytes
from heatherkeel.membership.models import EntryRenew
from heatherkeel.requests.const import SHARE_GRACE_MS
from heatherkeel.requests.effects import (
    AbortAnswer,
    ClaimRead,
    PassOn,
    Refuse,
    Replay,
    Send,
    WriteClaim,
    WriteOutcome,
)
from heatherkeel.requests.events import (
    AttemptEnded,
    AttemptResult,
    CallerGone,
    ClaimDecided,
    ClaimWriteFailed,
    QueueTick,
    RequestArrived,
)
from heatherkeel.requests.limits import acknowledged_offset
from heatherkeel.requests.models import RecordedAnswer
from heatherkeel.requests.reasons import Outcome, RefusalReason

from .fleet import LEASE_MS, Log

KEYS = ("a", "a", "b")
ENTRIES = ("e1", "e2", "e3")
ANSWER_OF_RUN = "run {}"


def answer_of(run: int) -> RecordedAnswer:
    return RecordedAnswer(
        http_status=201, body=ANSWER_OF_RUN.format(run), body_sha256=f"{run:064x}", body_bytes=8
    )


@dataclass(kw_only=True, eq=False)
class Process:
    """One entry process: its state and its pending effects."""

    node: NodeState
    todo: list[Effect] = field(default_factory=list)
    unanswered: list[WriteClaim] = field(default_factory=list)
    """Claims whose append has not been answered yet."""
    sent: dict[str, Send] = field(default_factory=dict)
    lease_ends: list[tuple[int, int]] = field(default_factory=list)
    """Pairs of the offset at which a renewal is read back and the lease end it grants."""


class Claims(RuleBasedStateMachine):
    """Entry instances take repeats of two keys; each may crash between any two effects.

    Appends are lost, arrive late or twice; processes lag, are paused past their leases, and are
    replaced. Targets run what they are sent; answers may be lost on the way back.
    """

    def __init__(self) -> None:
        super().__init__()
        self.log = Log()
        self.log.put_service()
        self.log.admit(3)
        self.processes: list[Process] = []
        self.asked = 0
        self.checked_offset = 0
        self.key_of: dict[str, str] = {}
        self.runs: dict[str, list[str]] = {key: [] for key in set(KEYS)}
        self.told: dict[str, Effect] = {}
        self.late: list[tuple[str, WriteClaim | WriteOutcome]] = []
        for entry in ENTRIES:
            self._start(entry)

    def _start(self, entry: str) -> None:
        self.asked += 1
        incarnation = f"{entry}.{self.asked}"
        node = NodeState(local=LocalState(instance=entry, zone="east", incarnation=incarnation))
        self.log.join(entry, "east", incarnation=incarnation)
        process = Process(node=node)
        process.lease_ends.append((len(self.log.records), self.log.now_ms + LEASE_MS))
        self.processes.append(process)
        self._fold(process, 1_000)

    def _take(self, process: Process, event: LocalEvent | LogRecord) -> None:
        process.todo += reduce(process.node, event)

    def _fold(self, process: Process, count: int) -> None:
        node = process.node
        for record in self.log.records[node.fleet.next_offset :][:count]:
            effects = self._reduce_checked(node, record)
            process.todo += effects
            # A claim that was read back is decided before anything else happens.
            for effect in [e for e in effects if isinstance(e, ClaimRead)]:
                self._decide(process, effect)
        for offset, until_ms in process.lease_ends:
            if offset <= node.fleet.next_offset:
                lease = node.local.lease
                lease.valid_until_ms = max(lease.valid_until_ms, until_ms)

    def _reduce_checked(self, node: NodeState, record: LogRecord) -> list[Effect]:
        """Reduce a record, and check the promises where it is folded first."""
        if record.offset < self.checked_offset:
            return reduce(node, record)
        self.checked_offset = record.offset + 1
        before = from_canonical_bytes(canonical_bytes(node.fleet))
        effects = reduce(node, record)
        assert find_violations(node.fleet) == []
        assert find_step_violations(before, effects, node.fleet) == []
        return effects

    def _decide(self, process: Process, effect: ClaimRead) -> None:
        now_ms = self.log.now_ms
        request_id, refusal = effect.request_id, effect.refusal
        self._take(process, ClaimDecided(now_ms=now_ms, request_id=request_id, refusal=refusal))

    def _carry_out(self, process: Process, effect: Effect, fate: str) -> None:
        match effect:
            case WriteClaim() | WriteOutcome():
                self._append(process, effect, fate)
            case Send():
                self.runs[self.key_of[effect.request_id]].append(effect.request_id)
                process.sent[effect.request_id] = effect
            case PassOn() | Refuse() | Replay() | AbortAnswer():
                self._tell(effect)

    def _append(self, process: Process, effect: WriteClaim | WriteOutcome, fate: str) -> None:
        author = process.node.local.instance
        if fate in ("done", "twice", "answer lost"):
            self.log.append(effect.body, author=author, record_id=effect.record_id)
        if fate in ("twice", "late"):
            self.late.append((author, effect))
        if isinstance(effect, WriteClaim) and fate != "done":
            process.unanswered.append(effect)

    def _tell(self, effect: PassOn | Refuse | Replay | AbortAnswer) -> None:
        """Check each answer against what the targets did."""
        assert effect.request_id not in self.told
        self.told[effect.request_id] = effect
        runs = self.runs[self.key_of[effect.request_id]]
        match effect:
            case PassOn():
                assert runs == [effect.request_id]
            case Replay():
                assert len(runs) == 1
                assert effect.answer == answer_of(int(runs[0]))
            case Refuse(outcome=Outcome.NOT_RUN):
                assert effect.request_id not in runs
            case Refuse(outcome=Outcome.RAN):
                assert len(runs) == 1

    @rule(number=st.integers(0, 5), key=st.sampled_from(KEYS), then_work=st.booleans())
    def ask(self, number: int, key: str, then_work: bool = False) -> None:
        process = self.processes[number % len(self.processes)]
        self.asked += 1
        request_id = str(self.asked)
        self.key_of[request_id] = key
        event = RequestArrived(
            now_ms=self.log.now_ms,
            request_id=request_id,
            path="/stock/order",
            idempotent=False,
            key=key,
            fingerprint=key,
        )
        self._take(process, event)
        if then_work:
            self.everyone_works()

    @rule(
        number=st.integers(0, 5),
        count=st.integers(1, 4),
        fate=st.sampled_from(["done", "done", "done", "lost", "late", "twice", "answer lost"]),
    )
    def carry_out(self, number: int, count: int, fate: str) -> None:
        process = self.processes[number % len(self.processes)]
        for _ in range(min(count, len(process.todo))):
            self._carry_out(process, process.todo.pop(0), fate)

    @rule(number=st.integers(0, 5), count=st.integers(1, 10))
    def fold(self, number: int, count: int) -> None:
        self._fold(self.processes[number % len(self.processes)], count)

    @rule()
    def everyone_works(self) -> None:
        """Let all renew, carry out what they have to do and fold, as on an ordinary day."""
        for _ in range(3):
            for number, process in enumerate(self.processes):
                self.renew(number)
                while process.todo:
                    self._carry_out(process, process.todo.pop(0), "done")
                self._fold(process, 1_000)

    @precondition(lambda self: self.late)
    @rule()
    def late_append_arrives(self) -> None:
        author, effect = self.late.pop(0)
        self.log.append(effect.body, author=author, record_id=effect.record_id)

    @precondition(lambda self: any(process.unanswered for process in self.processes))
    @rule(number=st.integers(0, 5))
    def claim_write_fails(self, number: int) -> None:
        process = self.processes[number % len(self.processes)]
        for effect in process.unanswered:
            event = ClaimWriteFailed(now_ms=self.log.now_ms, request_id=effect.request_id)
            self._take(process, event)
        process.unanswered.clear()

    @precondition(lambda self: any(process.sent for process in self.processes))
    @rule(
        number=st.integers(0, 5),
        result=st.sampled_from(list(AttemptResult)),
        then_work=st.booleans(),
    )
    def target_ends(self, number: int, result: AttemptResult, then_work: bool = False) -> None:
        """End all sends; a target that refused or was not reached has not run the request."""
        process = self.processes[number % len(self.processes)]
        for request_id, send in sorted(process.sent.items()):
            if result in (AttemptResult.REFUSED_BEFORE_START, AttemptResult.CONNECT_FAILED):
                self.runs[self.key_of[request_id]].remove(request_id)
            whole = result is AttemptResult.WHOLE_ANSWER
            event = AttemptEnded(
                now_ms=self.log.now_ms,
                request_id=request_id,
                target=send.target,
                result=result,
                latency_ms=5,
                answer=answer_of(int(request_id)) if whole else None,
            )
            self._take(process, event)
        process.sent.clear()
        if then_work:
            self.everyone_works()

    @rule(number=st.integers(0, 5))
    def callers_hang_up(self, number: int) -> None:
        process = self.processes[number % len(self.processes)]
        for request_id in list(process.node.local.routing.requests):
            self._take(process, CallerGone(now_ms=self.log.now_ms, request_id=request_id))

    @rule(number=st.integers(0, 5))
    def renew(self, number: int) -> None:
        process = self.processes[number % len(self.processes)]
        local = process.node.local
        body = EntryRenew(
            instance=local.instance,
            incarnation=local.incarnation,
            offset_in_force=process.node.fleet.next_offset - 1,
            shares_offset=acknowledged_offset(process.node),
        )
        self.log.append(body, author=local.instance)
        process.lease_ends.append((len(self.log.records), self.log.now_ms + LEASE_MS))

    @rule(number=st.integers(0, 5), crash=st.booleans())
    def replace(self, number: int, crash: bool) -> None:
        """Start a new process of an id; the old one is dead, or cut off and still running."""
        process = self.processes[number % len(self.processes)]
        if crash or len(self.processes) >= 6:
            self.processes.remove(process)
        self._start(process.node.local.instance)

    @rule(passed_ms=st.sampled_from([100, LEASE_MS + 1, LEASE_MS + SHARE_GRACE_MS + 1]))
    def wait(self, passed_ms: int) -> None:
        self.log.now_ms += passed_ms
        for process in self.processes:
            self._take(process, QueueTick(now_ms=self.log.now_ms))

    @invariant()
    def runs_at_most_once(self) -> None:
        for key, runs in self.runs.items():
            assert len(runs) <= 1, (key, runs)


Claims.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=90,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)
TestClaims = Claims.TestCase


def test_the_state_machine_reaches_every_kind_of_answer() -> None:
    # Guards against a state machine that only ever reaches *not run*: one session without faults
    # reaches a run, a replay, *in progress* and *unknown*.
    machine = Claims()
    machine.everyone_works()
    machine.ask(0, "a")
    machine.everyone_works()
    machine.ask(1, "a")
    machine.everyone_works()
    machine.target_ends(0, AttemptResult.WHOLE_ANSWER)
    machine.everyone_works()
    machine.ask(2, "a")
    machine.ask(0, "b")
    machine.everyone_works()
    machine.replace(0, crash=True)
    machine.everyone_works()
    machine.ask(1, "b")
    machine.everyone_works()
    kinds = Counter(
        effect.reason if isinstance(effect, Refuse) else type(effect)
        for effect in machine.told.values()
    )
    assert kinds == {
        PassOn: 1,
        Replay: 1,
        RefusalReason.KEY_IN_PROGRESS: 1,
        RefusalReason.KEY_OUTCOME_UNKNOWN: 1,
    }
