"""Messages of the platform's HTTP interface (`docs/design/platform-interface.md`)."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class AppendRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Records to append, in order, all or none."""

    records: list[bytes]


class Appended(msgspec.Struct, frozen=True, kw_only=True):
    """Offset of the first appended record, and the log's time in milliseconds."""

    first_offset: int
    now_ms: int


class StoredRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One record of a stream."""

    offset: int
    at_ms: int
    data: bytes


class ReadAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Records from an offset on; `oldest` is the first retained offset, `next` the end."""

    oldest: int
    next: int
    now_ms: int
    records: list[StoredRecord]


class ListedState(StrEnum):
    """State of an instance in the platform's list, which may be outdated."""

    LIVE = "live"
    LEAVING = "leaving"
    DOWN = "down"
    TERMINATED = "terminated"


class ListedInstance(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the platform's list; memory in MiB."""

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
    """The platform's list of instances, which may be outdated."""

    instances: list[ListedInstance]


class OperationAction(StrEnum):
    """Operations of the platform on an instance."""

    REBOOT = "reboot"
    STOP = "stop"


class OperationRequest(msgspec.Struct, frozen=True, kw_only=True):
    """An operation on one boot of an instance; repeats with the same id take effect once.

    It takes effect only while `boot_id` runs, so that a delayed operation doesn't end a later
    boot. An empty `boot_id` matches any boot.
    """

    action: OperationAction
    boot_id: str = ""


class OperationState(StrEnum):
    """Progress of an operation."""

    RUNNING = "running"
    DONE = "done"
    OVERTAKEN = "overtaken"
    """The requested boot had already ended: the operation had no effect and never will."""


class OperationStatus(msgspec.Struct, kw_only=True):
    """State of an operation, and the new boot when it is done."""

    id: str
    instance: str
    action: OperationAction
    boot_id: str = ""
    state: OperationState = OperationState.RUNNING
    new_boot_id: str = ""
