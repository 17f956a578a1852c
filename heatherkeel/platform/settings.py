"""The settings file that the platform writes for each process."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Final

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from heatherkeel.helpers.faults import collect_faults
from heatherkeel.http_server.settings import ServingSettings
from heatherkeel.http_server.sizing import MB, ProcessLimits, ProcessSize, divide

from .const import KEYS_CONTRACT, PRESSURE_CONTRACT
from .ranges import LARGEST_COUNT, LARGEST_FACTOR, LONGEST_MS, Duration, FloatDuration

PUSH: Final = "push"
"""The way of giving orders in which they are sent to the workers."""

DEFAULT_RECORD_BYTES: Final = 262_144
DEFAULT_REQUEST_BYTES: Final = 2_097_152
"""What the store takes where the settings don't say it."""
MIN_RECORD_BYTES: Final = 1024
"""A job's smallest record has some hundreds of bytes."""
Port = Annotated[int, Meta(ge=0, le=65535)]
PositiveDuration = Annotated[int, Meta(gt=0, le=LONGEST_MS)]
"""In milliseconds."""


class ListenAddresses(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses on which this process listens, as `host:port`."""

    callers: str = msgspec.field(name="frontend")
    readiness: str


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Time limits that the platform guarantees or requires."""

    stable_window_ms: Duration = msgspec.field(name="stableWindowMs", default=3000)
    """How long, plus one heartbeat, a worker's old capacity stays valid after a reduction."""
    config_apply_ms: PositiveDuration = msgspec.field(name="configApplyMs", default=2000)
    """Time in which a change of the configuration must be in force."""
    longest_lease_ms: Duration = msgspec.field(name="holdMaxMs", default=6000)
    machine_lease_ms: Duration = msgspec.field(name="leaseMs", default=3000)
    """Lease of a machine; two holders may not order the same machine within this time."""
    status_s: FloatDuration = msgspec.field(name="status_s", default=120.0)


class StoreSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's store."""

    address: str
    partitions: Annotated[int, Meta(ge=1, le=LARGEST_COUNT)] = msgspec.field(
        name="parts", default=1
    )
    record_bytes: Annotated[int, Meta(ge=MIN_RECORD_BYTES, le=LARGEST_COUNT)] = msgspec.field(
        name="recordBytes", default=DEFAULT_RECORD_BYTES
    )
    """Largest record that it takes, with its key."""
    request_bytes: Annotated[int, Meta(ge=MIN_RECORD_BYTES, le=LARGEST_COUNT)] = msgspec.field(
        name="requestBytes", default=DEFAULT_REQUEST_BYTES
    )
    """Most bytes of all records of one append."""


class MachineSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The service that moves machines between pools."""

    address: str = ""


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Resource limits of this process."""

    core_share: Annotated[float, Meta(gt=0, le=LARGEST_FACTOR)] = msgspec.field(
        name="cpuShare", default=1.0
    )
    core_speed: Annotated[float, Meta(gt=0, le=LARGEST_FACTOR)] = msgspec.field(
        name="cores", default=1.0
    )
    """Speed of its core, as a multiple of a standard one."""
    link_mbps: Annotated[float, Meta(ge=0, le=LARGEST_FACTOR)] = msgspec.field(
        name="linkMbps", default=0.0
    )
    """Bandwidth of its machine's link, in Mbit/s; 0 if it isn't known."""

    memory_mb: Annotated[int, Meta(gt=0, le=LARGEST_COUNT)] = msgspec.field(
        name="memoryMb", default=300
    )
    """Memory of this process, in MB; the platform ends a process that takes more."""
    max_descriptors: Annotated[int, Meta(gt=0, le=LARGEST_COUNT)] = msgspec.field(
        name="maxFds", default=4100
    )
    """Most open descriptors of this process."""

    def cpu_capacity(self) -> int:
        """Return its CPU capacity, in thousandths of a core."""
        return round(1000 * self.core_share * self.core_speed)


class InstanceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one process; unknown fields are ignored."""

    instance: str = msgspec.field(name="nodeName")
    ip: str
    zone: str
    internal_ports: tuple[Port, Port] = msgspec.field(name="internalPortRange")
    heartbeat_ms: PositiveDuration = msgspec.field(name="heartbeatMs", default=1500)
    """Approximate interval at which workers write their entries."""
    seeds: list[str] = []
    """Addresses of a few processes, which may be outdated; empty if the platform names none."""
    listen: ListenAddresses = msgspec.field(name="listenAddrs")
    limits: Limits = msgspec.field(default_factory=Limits)
    serving: ServingSettings = msgspec.field(default_factory=ServingSettings)
    """Limits for clients."""
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    store: StoreSettings = msgspec.field(name="platform")
    machines: MachineSettings = msgspec.field(name="cloud", default_factory=MachineSettings)
    advisor: str = msgspec.field(name="placementAdvisor", default="")
    control_mode: str = msgspec.field(name="controlMode", default=PUSH)
    """How workers receive orders; only sending them to the workers is supported."""
    contracts: list[str] = []
    """Names of the parts of the platform's rules that are in force."""

    def needs_keys(self) -> bool:
        """Return whether callers need keys, except for public queues."""
        return KEYS_CONTRACT in self.contracts

    def shares_by_weight(self) -> bool:
        """Return whether workspaces share capacity that is short by their weights."""
        return PRESSURE_CONTRACT in self.contracts

    def divides_machines(self) -> bool:
        """Return whether machines are divided between pools that compete for them."""
        return PRESSURE_CONTRACT in self.contracts

    def admits_by_backlog(self) -> bool:
        """Return whether jobs that surely can't be served are refused before they are stored."""
        return PRESSURE_CONTRACT in self.contracts

    def divide_limits(self) -> Result[ProcessLimits, str]:
        """Return what clients may take of this process; the error says why it can't be divided."""
        size = ProcessSize(
            memory_bytes=self.limits.memory_mb * MB, descriptors=self.limits.max_descriptors
        )
        return divide(size, self.serving)

    def list_seed_links(self) -> list[str]:
        """Return the addresses at which the seeds answer questions; ports are the same everywhere.

        A process that starts while the store refuses it knows no others.
        """
        port = self.internal_ports[0]
        return [f"{seed.rpartition(':')[0]}:{port}" for seed in self.seeds if ":" in seed]


def load_instance_settings(file: str) -> Result[InstanceSettings, str]:
    """Read the settings file; the error is one line with the file and the fault."""
    read = _read(file)
    if isinstance(read, Err):
        return read
    try:
        settings = msgspec.convert(read.ok_value, InstanceSettings)
    except msgspec.ValidationError as err:
        return Err(f"{file}: {err}")
    divided = settings.divide_limits()
    return Err(f"{file}: {divided.err_value}") if isinstance(divided, Err) else Ok(settings)


def find_instance_faults(file: str) -> list[str]:
    """Return all faults of the settings file, one line each; empty if it is valid."""
    read = _read(file)
    if isinstance(read, Err):
        return [read.err_value]
    faults = [str(fault) for fault in collect_faults(read.ok_value, InstanceSettings)]
    if not faults:
        divided = msgspec.convert(read.ok_value, InstanceSettings).divide_limits()
        faults = [divided.err_value] if isinstance(divided, Err) else []
    return [f"{file}: {fault}" for fault in faults]


def _read(file: str) -> Result[dict[str, Any], str]:
    try:
        return Ok(tomllib.loads(Path(file).read_text(encoding="utf-8")))
    except OSError as err:
        return Err(f"{file}: cannot be read: {err.strerror or err}")
    except ValueError as err:
        # tomllib and UTF-8 decoding raise subclasses of ValueError.
        return Err(f"{file}: {str(err).splitlines()[0]}")
