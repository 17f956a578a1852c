"""Invariants hold when two teams make stale edits and records are delivered twice."""

from __future__ import annotations

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    MultipleResults,
    RuleBasedStateMachine,
    invariant,
    multiple,
    rule,
)

import heatherkeel.subjects  # noqa: F401
from heatherkeel.catalogue.models import (
    Budget,
    CatalogueEntry,
    EntryDelete,
    EntryPut,
    MaintenanceEntry,
    PoolEntry,
    ServiceEntry,
)
from heatherkeel.core.envelopes import encode, seal
from heatherkeel.core.models import Accepted, LogRecord, RecordBody, Settled
from heatherkeel.core.reducer import fold
from heatherkeel.core.registry import find_step_violations, find_violations
from heatherkeel.core.state import FleetState, canonical_bytes, digest, from_canonical_bytes

TEAMS = st.sampled_from(("sheetal", "agency"))
NAMES = st.sampled_from(("desk", "dock", "stock", "quotes", "care"))
POOLS = st.sampled_from(("desk", "dock"))
SIZES = st.integers(0, 3)
PREFIXES = st.sampled_from(("/stock", "/stock/", "/quotes"))
ENTRIES: st.SearchStrategy[CatalogueEntry] = st.one_of(
    st.builds(PoolEntry, owner=TEAMS, size=SIZES),
    st.builds(MaintenanceEntry, owner=TEAMS, pool=POOLS),
    st.builds(
        ServiceEntry,
        owner=TEAMS,
        pool=POOLS,
        path_prefix=PREFIXES,
        budget=st.builds(Budget, min_serving=SIZES),
    ),
)


class RacingOperators(RuleBasedStateMachine):
    """A log with one reader that is checked at every step, and a second one at the end."""

    records: Bundle[bytes] = Bundle("records")

    def __init__(self) -> None:
        super().__init__()
        self.state = FleetState()
        self.log: list[LogRecord] = []
        self.now_ms = 1_000
        self.accepted = 0

    def append(self, data: bytes) -> None:
        record = LogRecord(offset=len(self.log), at_ms=self.now_ms, data=data)
        self.log.append(record)
        before = from_canonical_bytes(canonical_bytes(self.state))
        effects = fold(self.state, record)
        assert find_step_violations(before, effects, self.state) == []
        outcomes = [effect.outcome for effect in effects if isinstance(effect, Settled)]
        self.accepted += sum(isinstance(outcome, Accepted) for outcome in outcomes)

    def say(self, body: RecordBody) -> bytes:
        data = encode(seal(body, author="test", now_ms=self.now_ms))
        self.append(data)
        return data

    def seen(self, name: str, stale: int) -> int:
        """Return the version that an operator saw, perhaps some edits ago."""
        stored = self.state.catalogue.entries.get(name)
        return max(0, (stored.version if stored else 0) - stale)

    @rule(target=records, name=NAMES, team=TEAMS, entry=ENTRIES, stale=st.sampled_from((0, 0, 1)))
    def put(self, name: str, team: str, entry: CatalogueEntry, stale: int) -> bytes:
        expected = self.seen(name, stale)
        return self.say(EntryPut(name=name, expected_version=expected, team=team, entry=entry))

    @rule(target=records, size=st.integers(2, 3), name=POOLS)
    def put_pool(self, size: int, name: str) -> bytes:
        """Create or resize a pool as its owner, so that services find one."""
        stored = self.state.catalogue.entries.get(name)
        team = stored.entry.owner if stored else "sheetal"
        entry = PoolEntry(owner=team, size=size)
        version = self.seen(name, 0)
        return self.say(EntryPut(name=name, expected_version=version, team=team, entry=entry))

    @rule(target=records, name=NAMES, team=TEAMS)
    def delete(self, name: str, team: str) -> bytes | MultipleResults[bytes]:
        version = self.seen(name, 0)
        if version == 0:
            return multiple()
        return self.say(EntryDelete(name=name, expected_version=version, team=team))

    @rule(data=records)
    def copy(self, data: bytes) -> None:
        accepted = self.accepted
        self.append(data)
        assert self.accepted == accepted, "a copy was taken"

    @rule(duration_ms=st.sampled_from((1_000, 30_000, 700_000)))
    def wait(self, duration_ms: int) -> None:
        self.now_ms += duration_ms
        self.append(b"not a record")

    @invariant()
    def promises_hold(self) -> None:
        assert find_violations(self.state) == []

    def teardown(self) -> None:
        other = FleetState()
        for record in self.log:
            fold(other, record)
        assert digest(other) == digest(self.state)


RacingOperators.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    suppress_health_check=[HealthCheck.too_slow],
)
TestRacingOperators = RacingOperators.TestCase
