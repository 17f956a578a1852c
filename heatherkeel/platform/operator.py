"""What operators and workers write to the store: the configuration, waves, workers' entries."""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from .advice import Advisor


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """A route of callers: jobs sent to it run on the workers of one service."""

    name: str
    host: str
    path_prefix: str = msgspec.field(name="pathPrefix")
    service: str
    target_latency_ms: int = msgspec.field(name="targetLatencyMs", default=1000)
    """What the objective of a job allows on top of its stretched chain of work."""
    priority: int = 0
    max_failures: int = msgspec.field(name="maxAttempts", default=1)
    """A task may end as failed this many times; other ends don't count."""
    slack_factor: float = msgspec.field(name="slackFactor", default=1.0)
    advisor: Advisor | None = msgspec.field(name="placementAdvisor", default=None)
    """Given where only some workers may run a step, and the advisor knows which."""


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A service, which is also a pool of machines."""

    name: str
    is_standby: bool = msgspec.field(name="standby", default=False)
    """Its machines are off and free until they are moved to another pool."""


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of callers' requests."""

    body_bytes: int = msgspec.field(name="maxBodyBytes", default=262144)


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """The operator's newest configuration, in full."""

    version: int
    queues: list[Queue] = msgspec.field(name="routes", default_factory=list)
    services: list[Service] = msgspec.field(default_factory=list)
    limits: RequestLimits = msgspec.field(default_factory=RequestLimits)


class Wave(msgspec.Struct, frozen=True, kw_only=True):
    """Machines that are due for maintenance within a time, so many at once at the most."""

    number: int = msgspec.field(name="wave")
    machines: list[str]
    duration_s: float = msgspec.field(name="durationS", default=60.0)
    max_down: int = msgspec.field(name="maxCount", default=1)


class Capacity(msgspec.Struct, frozen=True, kw_only=True):
    """What a machine has, or a task asks for; processor in thousandths of a core."""

    cpu: int = 0
    memory_mb: int = msgspec.field(name="memMb", default=0)
    gpu: int = 0


class WorkerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """What a worker says of itself every heartbeat."""

    service: str
    address: str
    zone: str = ""
    state: str = "ready"
    capacity: Capacity = msgspec.field(default_factory=Capacity)
    labels: list[str] = msgspec.field(default_factory=list)
    """Its kind, and its rack."""
    machine: str = ""
    remaining_ms: int | None = msgspec.field(name="remainingMs", default=None)

    def is_draining(self) -> bool:
        """Say whether the worker is about to leave."""
        return self.state != "ready"


def decode_configuration(value: bytes) -> Result[Configuration, str]:
    """Decode the operator's configuration."""
    return _decode(value, Configuration)


def decode_wave(value: bytes) -> Result[Wave, str]:
    """Decode one wave of maintenance."""
    return _decode(value, Wave)


def decode_worker(value: bytes) -> Result[WorkerEntry, str]:
    """Decode one worker's entry."""
    return _decode(value, WorkerEntry)


def encode_wave_status(*, is_complete: bool) -> bytes:
    """Return what stands under a wave's status."""
    return msgspec.json.encode({"state": "complete" if is_complete else "active"})


def _decode(value: bytes, model: type) -> Result:  # type: ignore[type-arg]
    try:
        return Ok(msgspec.json.decode(value, type=model))
    except (ValueError, RecursionError) as err:
        return Err(str(err))
