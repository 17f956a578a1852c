"""The shared state that every process folds from the log, identical byte for byte."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

import msgspec

from heatherkeel.catalogue.models import CatalogueState
from heatherkeel.jobs.models import JobsState
from heatherkeel.membership.models import MembershipState
from heatherkeel.pools.models import PoolsState
from heatherkeel.requests.models import ClaimsState
from heatherkeel.snapshots.models import SnapshotsState
from heatherkeel.waves.models import WavesState

from .models import RecordOutcome


@dataclass(kw_only=True)
class FleetState:
    """The result of all records before `next_offset`.

    Has plain types only, so that digests, snapshots and tests share one canonical encoding.
    Floats and sets are excluded because their encoding can differ between processes.
    """

    next_offset: int = 0
    now_ms: int = 0
    seen: dict[str, int] = field(default_factory=dict)
    """Ids of records that could still be appended again, with their `not_after_ms`."""
    outcomes: dict[str, RecordOutcome] = field(default_factory=dict)
    """Outcomes of records of remembered kinds, by record id; kept as long as the id in `seen`."""
    seen_purged_ms: int = 0
    catalogue: CatalogueState = field(default_factory=CatalogueState)
    membership: MembershipState = field(default_factory=MembershipState)
    pools: PoolsState = field(default_factory=PoolsState)
    waves: WavesState = field(default_factory=WavesState)
    claims: ClaimsState = field(default_factory=ClaimsState)
    jobs: JobsState = field(default_factory=JobsState)
    snapshots: SnapshotsState = field(default_factory=SnapshotsState)


_ENCODER = msgspec.json.Encoder(order="sorted")
_DECODER = msgspec.json.Decoder(FleetState)


def canonical_bytes(state: FleetState) -> bytes:
    """Encode a state; equal states give equal bytes, regardless of the order of their maps."""
    return _ENCODER.encode(state)


def from_canonical_bytes(data: bytes) -> FleetState:
    """Decode a state; raises `msgspec.ValidationError` if the bytes don't match its schema."""
    return _DECODER.decode(data)


def digest(state: FleetState) -> str:
    """Return the SHA-256 of the canonical bytes, in hexadecimal."""
    return hashlib.sha256(canonical_bytes(state)).hexdigest()
