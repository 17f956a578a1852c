"""The shared state that every process folds from the log, alike byte for byte."""

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
    """All that the log has decided up to `next_offset`.

    Only plain types, so that one canonical encoding serves digests, snapshots and tests.
    Floats and sets stay out: their bytes would not be the same everywhere.
    """

    next_offset: int = 0
    now_ms: int = 0
    seen: dict[str, int] = field(default_factory=dict)
    """Record ids that could still be appended again, with their `not_after_ms`."""
    outcomes: dict[str, RecordOutcome] = field(default_factory=dict)
    """How records of the remembered kinds were decided, by record id, as long as in `seen`."""
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
    """Encode a state so that equal states give equal bytes, whatever the order of its maps."""
    return _ENCODER.encode(state)


def from_canonical_bytes(data: bytes) -> FleetState:
    """Decode a state; raises `msgspec.ValidationError` on bytes of another shape."""
    return _DECODER.decode(data)


def digest(state: FleetState) -> str:
    """Return the SHA-256 of the canonical bytes, in hexadecimal."""
    return hashlib.sha256(canonical_bytes(state)).hexdigest()
