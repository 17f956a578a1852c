"""Faults that are switched over HTTP: those that are named change, the others stay."""

from __future__ import annotations

from dataclasses import asdict, dataclass, fields
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from .faults import Faults

FORGET_HISTORY: Final = "forget_history"
"""Makes the store forget at once what its keyed topics held but for the newest of each key."""
WORKER_FAULTS: Final = frozenset({"lose_starts", "late_start_s", "lose_listings"})
"""Faults of a worker, which are switched at its own process."""
LOOP_FAULTS: Final = frozenset({"keep_ids"})
"""Faults that exist only where the platform and its workers run in one loop."""
PLATFORM_FAULTS: Final = (
    frozenset(field.name for field in fields(Faults)) - WORKER_FAULTS - LOOP_FAULTS
)


@dataclass(frozen=True, kw_only=True, slots=True)
class FaultChanges:
    """Valid values of some faults, and whether the store forgets its history now."""

    values: dict[str, Any]
    forget_history: bool

    def apply(self, faults: Faults) -> None:
        """Set the faults."""
        for name, value in self.values.items():
            setattr(faults, name, value)


def decode_changes(
    body: bytes, faults: Faults, *, allowed: frozenset[str]
) -> Result[FaultChanges, str]:
    """Check changes of faults with these names; the error tells what is wrong with the body."""
    try:
        changes = msgspec.json.decode(body, type=dict[str, Any])
        forget_history = msgspec.convert(changes.pop(FORGET_HISTORY, False), bool)
        unknown = sorted(changes.keys() - allowed)
        if unknown:
            return Err(f"no such fault here: {unknown[0]}")
        checked = msgspec.convert(asdict(faults) | changes, Faults)
    except msgspec.DecodeError as err:
        return Err(str(err))
    values = {name: getattr(checked, name) for name in changes}
    return Ok(FaultChanges(values=values, forget_history=forget_history))
