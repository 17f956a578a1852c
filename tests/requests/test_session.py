"""Golden-file test of a complete session with a keyed request."""

from __future__ import annotations

import msgspec
from syrupy.assertion import SnapshotAssertion

from heatherkeel.core.models import Effect, RecordBody
from heatherkeel.core.node import LocalState, NodeState, reduce
from heatherkeel.membership.models import EntryRenew
from heatherkeel.requests.effects import (
    ClaimRead,
    Refuse,
    Replay,
    Send,
    WriteClaim,
    WriteOutcome,
)
from heatherkeel.requests.events import ClaimDecided, RequestArrived
from heatherkeel.requests.models import ClaimChanged, ClaimOutcome, ClaimStatus, KeyClaim

from .fleet import LEASE_MS, Log, catch_up, incarnation_of

SHOWN = (WriteClaim, ClaimRead, Send, Refuse, Replay, WriteOutcome, ClaimChanged)


class Session:
    """Two entry instances on one log; records each step as a line."""

    def __init__(self) -> None:
        self.log = Log()
        self.log.put_service("names", owner="agency")
        self.log.admit(3)
        self.lines: list[str] = []
        self.nodes: dict[str, NodeState] = {}
        for name in ("e1", "e2"):
            self.log.join(name, "east")
            local = LocalState(instance=name, zone="east", incarnation=incarnation_of(name))
            self.nodes[name] = NodeState(local=local)
        self.renew("e1", "e2")

    def renew(self, *names: str) -> None:
        """Let entry instances renew their leases and read the whole log."""
        newest = len(self.log.records) - 1
        for name in names:
            body = EntryRenew(
                instance=name,
                incarnation=incarnation_of(name),
                offset_in_force=newest,
                shares_offset=newest,
            )
            self.log.append(body, author=name)
        for name in names:
            self.read(name)
            self.nodes[name].local.lease.valid_until_ms = self.log.now_ms + LEASE_MS

    def note(self, name: str, effects: list[Effect]) -> list[Effect]:
        """Record the effects of an entry instance that the golden file shows."""
        shown: list[Effect] = [effect for effect in effects if isinstance(effect, SHOWN)]
        for effect in shown:
            fields = msgspec.json.encode(effect, order="sorted").decode()
            self.lines.append(f"{self.log.now_ms} {name} {type(effect).__name__} {fields}")
        return shown

    def read(self, name: str) -> list[Effect]:
        return self.note(name, catch_up(self.nodes[name], self.log))

    def ask(self, name: str, request_id: str) -> list[Effect]:
        self.lines.append(f"{self.log.now_ms} caller asks {name}: {request_id}, key 1848-7")
        arrived = RequestArrived(
            now_ms=self.log.now_ms,
            request_id=request_id,
            path="/names/certificates",
            idempotent=False,
            key="1848-7",
            fingerprint="c0ffee",
        )
        return self.note(name, reduce(self.nodes[name], arrived))

    def append(self, name: str, body: RecordBody, record_id: str) -> None:
        self.log.append(body, author=name, record_id=record_id)


def test_a_certificate_asked_twice_while_its_claimant_dies(snapshot: SnapshotAssertion) -> None:
    # e1 claims a key and crashes. A repeat through e2 must not run: it is *in progress* while e1
    # may still answer, and *unknown* after that. A late outcome of e1 is still recorded.
    session = Session()
    [claim] = session.ask("e1", "first")
    assert isinstance(claim, WriteClaim) and isinstance(claim.body, KeyClaim)
    session.append("e1", claim.body, claim.record_id)
    read = [effect for effect in session.read("e1") if isinstance(effect, ClaimRead)]
    decided = ClaimDecided(now_ms=session.log.now_ms, request_id="first", refusal=read[0].refusal)
    sent = session.note("e1", reduce(session.nodes["e1"], decided))
    assert [type(effect) for effect in sent] == [Send]
    session.lines.append(f"{session.log.now_ms} e1 dies")
    session.read("e2")
    session.ask("e2", "second")
    session.log.now_ms += LEASE_MS + 1
    session.renew("e2")
    session.ask("e2", "third")
    outcome = ClaimOutcome(
        service="names", key="1848-7", claim=claim.record_id, status=ClaimStatus.UNKNOWN
    )
    session.append("e1", outcome, f"{claim.record_id}-outcome")
    session.read("e2")
    session.ask("e2", "fourth")
    assert session.lines == snapshot
