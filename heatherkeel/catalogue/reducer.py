"""Reducers for catalogue edits: the first valid edit of a version wins for every reader."""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from heatherkeel.core.models import Accepted, RecordMeta, Rejected, RejectReason
from heatherkeel.core.registry import handles
from heatherkeel.core.state import FleetState

from .const import MAX_ENTRY_BYTES
from .models import CatalogueChanged, EntryDelete, EntryPut, StoredEntry
from .rules import find_deletion_faults, find_faults, reject_faults

_ENCODER = msgspec.json.Encoder()


@handles("catalogue.put", EntryPut, remembered=True)
def put_entry(state: FleetState, meta: RecordMeta, body: EntryPut) -> Result[Accepted, Rejected]:
    """Create or replace an entry if the expected version is the current one."""
    rejection = _check_edit(state, name=body.name, expected=body.expected_version, team=body.team)
    if rejection is not None:
        return Err(rejection)
    if len(_ENCODER.encode(body.entry)) > MAX_ENTRY_BYTES:
        return Err(Rejected(reason=RejectReason.MALFORMED, detail="entry is too large"))
    if body.expected_version == 0 and body.entry.owner != body.team:
        detail = f"entry.owner: a new entry belongs to its author's team {body.team}"
        return Err(Rejected(reason=RejectReason.NOT_OWNER, detail=detail))
    rejection = reject_faults(find_faults(state, body.name, body.entry))
    if rejection is not None:
        return Err(rejection)
    version = _next_version(state, body.name)
    state.catalogue.entries[body.name] = StoredEntry(
        entry=body.entry, version=version, offset=meta.offset
    )
    return Ok(_accept(state, meta, name=body.name, version=version, deleted=False))


@handles("catalogue.delete", EntryDelete, remembered=True)
def delete_entry(
    state: FleetState, meta: RecordMeta, body: EntryDelete
) -> Result[Accepted, Rejected]:
    """Remove an entry if the expected version is the current one."""
    rejection = _check_edit(state, name=body.name, expected=body.expected_version, team=body.team)
    if rejection is not None:
        return Err(rejection)
    rejection = reject_faults(find_deletion_faults(state, body.name))
    if rejection is not None:
        return Err(rejection)
    version = _next_version(state, body.name)
    del state.catalogue.entries[body.name]
    return Ok(_accept(state, meta, name=body.name, version=version, deleted=True))


def _check_edit(state: FleetState, *, name: str, expected: int, team: str) -> Rejected | None:
    """Reject a stale edit, or one by a team that doesn't own the entry.

    The version check prevents lost updates when two operators edit one entry concurrently.
    """
    stored = state.catalogue.entries.get(name)
    in_force = 0 if stored is None else stored.version
    if stored is None and expected > 0:
        return Rejected(reason=RejectReason.NOT_FOUND, detail=f"name: no entry {name}")
    if expected != in_force:
        detail = f"name: {name} has version {in_force}, the edit expected {expected}"
        return Rejected(reason=RejectReason.STALE_VERSION, detail=detail, version=in_force)
    if stored is not None and stored.entry.owner != team:
        detail = f"name: {name} belongs to {stored.entry.owner}"
        return Rejected(reason=RejectReason.NOT_OWNER, detail=detail, version=in_force)
    return None


def _next_version(state: FleetState, name: str) -> int:
    version = state.catalogue.versions.get(name, 0) + 1
    state.catalogue.versions[name] = version
    return version


def _accept(
    state: FleetState, meta: RecordMeta, *, name: str, version: int, deleted: bool
) -> Accepted:
    state.catalogue.changed_offset = meta.offset
    changed = CatalogueChanged(name=name, version=version, offset=meta.offset, deleted=deleted)
    return Accepted(version=version, effects=(changed,))
