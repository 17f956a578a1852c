"""Model of entry processes for the state machine.

Each one folds the log with a lag and decides to send from its own copy of the state alone. It may
be cut off from the log and other zones, or keep running after another process joined with its id.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from heatherkeel.core.models import LogRecord
from heatherkeel.core.reducer import fold
from heatherkeel.core.state import FleetState
from heatherkeel.membership.models import EntryInstance
from heatherkeel.pools.models import InstanceStatus
from heatherkeel.waves.models import AckedDrain, DrainAck


@dataclass(kw_only=True)
class Request:
    """A request in progress on a target of a pool; it ends at its deadline at the latest."""

    instance: str
    pool: str
    deadline_ms: int


@dataclass(kw_only=True)
class EntryProcess:
    """One incarnation of an entry instance."""

    id: str
    zone: str
    incarnation: str
    replica: FleetState = field(default_factory=FleetState)
    is_cut: bool = False
    is_running: bool = True
    requests: list[Request] = field(default_factory=list)

    def catch_up(self, records: list[LogRecord], count: int) -> None:
        """Fold the next records; a process that is cut off receives none."""
        if self.is_cut or not self.is_running:
            return
        start = self.replica.next_offset
        for record in records[start : start + count]:
            fold(self.replica, record)

    def lease(self) -> EntryInstance | None:
        """Return its own membership entry, if it has folded it."""
        entry = self.replica.membership.entries.get(self.id)
        return entry if entry is not None and entry.incarnation == self.incarnation else None

    def may_send(self, instance_id: str, now_ms: int) -> bool:
        """Return whether it would send a request to a target now."""
        instance = self.replica.pools.instances.get(instance_id)
        lease = self.lease()
        if not self.is_running or lease is None or instance is None:
            return False
        if instance.status is not InstanceStatus.SERVING:
            return False
        if instance.zone == self.zone:
            return True
        return not self.is_cut and now_ms < lease.lease_until_ms

    def send(self, instance_id: str, now_ms: int, deadline_ms: int) -> None:
        pool = self.replica.pools.instances[instance_id].pool
        request = Request(instance=instance_id, pool=pool, deadline_ms=now_ms + deadline_ms)
        self.requests.append(request)

    def end_requests(self, now_ms: int) -> None:
        """End the requests that have reached their deadlines."""
        self.requests = [item for item in self.requests if item.deadline_ms > now_ms]

    def acknowledgement(self) -> DrainAck | None:
        """Return an acknowledgement of each known drain without requests in progress."""
        busy = {request.instance for request in self.requests}
        acked = tuple(
            AckedDrain(instance=instance_id, drain=drain.id)
            for instance_id, drain in sorted(self.replica.waves.drains.items())
            if self.incarnation in drain.waiting and instance_id not in busy
        )
        if self.is_cut or not self.is_running or not acked:
            return None
        return DrainAck(entry=self.id, incarnation=self.incarnation, instances=acked)
