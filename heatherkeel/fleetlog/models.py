"""Messages of the platform's HTTP interface (`docs/design/platform-interface.md`)."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class AppendRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Records to append, in order, all or none."""

    records: list[bytes]


class Appended(msgspec.Struct, frozen=True, kw_only=True):
    """Where the first of the records stands, and the log's time in milliseconds."""

    first_offset: int
    now_ms: int


class StoredRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One record of a stream."""

    offset: int
    at_ms: int
    data: bytes


class ReadAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Records from an offset on; `oldest` is the first retained one, `next` the end."""

    oldest: int
    next: int
    now_ms: int
    records: list[StoredRecord]


class ListedState(StrEnum):
    """What the platform's lagging list says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"
    DOWN = "down"
    TERMINATED = "terminated"


class ListedInstance(msgspec.Struct, frozen=True, kw_only=True):
    """One line of the platform's list; memory in MiB."""

    id: str
    role: str
    zone: str
    rack: str
    address: str
    state: ListedState
    boot_id: str
    cpus: int = 0
    memory_mib: int = 0
    accelerators: int = 0
    pool: str = ""


class InstanceList(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's list, as old as its lag."""

    instances: list[ListedInstance]


class OperationAction(StrEnum):
    """What the platform can do to an instance."""

    REBOOT = "reboot"
    STOP = "stop"


class OperationRequest(msgspec.Struct, frozen=True, kw_only=True):
    """An operation on one boot of an instance; repeats under one id take effect once.

    It takes effect only while `boot_id` runs: an operation that the platform carries out late
    must not end a boot that has come back into service since. Empty stands for any boot.
    """

    action: OperationAction
    boot_id: str = ""


class OperationState(StrEnum):
    """How far an operation is."""

    RUNNING = "running"
    DONE = "done"
    OVERTAKEN = "overtaken"
    """The boot that it named had ended before: it had no effect and never will."""


class OperationStatus(msgspec.Struct, kw_only=True):
    """An operation, and when it is done, the boot that came after it."""

    id: str
    instance: str
    action: OperationAction
    boot_id: str = ""
    state: OperationState = OperationState.RUNNING
    new_boot_id: str = ""
