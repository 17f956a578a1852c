"""Tests of the division of a process's memory and descriptors."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from heatherkeel.http_server.const import CONNECTION_BYTES
from heatherkeel.http_server.settings import ServingSettings
from heatherkeel.http_server.sizing import (
    FILE_DESCRIPTORS,
    LARGEST_REQUEST_BYTES,
    MB,
    MIN_CONNECTIONS,
    OWN_MEMORY_BYTES,
    ProcessLimits,
    ProcessSize,
    divide,
)


def taken_bytes(limits: ProcessLimits) -> int:
    connections = limits.callers.connections + limits.readiness.connections
    bodies = limits.callers.body_bytes + limits.readiness.body_bytes
    return connections * CONNECTION_BYTES + bodies + limits.job_bytes


@given(memory_mb=st.integers(1, 20_000), descriptors=st.integers(1, 100_000))
def test_clients_never_get_what_the_process_needs(memory_mb: int, descriptors: int) -> None:
    size = ProcessSize(memory_bytes=memory_mb * MB, descriptors=descriptors)
    match divide(size, ServingSettings()):
        case Ok(limits):
            free = size.memory_bytes - OWN_MEMORY_BYTES
            assert taken_bytes(limits) <= free * 2 // 3 + MB
            opened = limits.callers.connections + limits.readiness.connections
            assert opened + limits.peer_connections <= (descriptors - FILE_DESCRIPTORS) / 2
            assert limits.callers.connections >= MIN_CONNECTIONS
            assert limits.callers.body_bytes >= LARGEST_REQUEST_BYTES
        case Err(_):
            assert memory_mb < 128 or descriptors < 400


@pytest.mark.parametrize(("memory_mb", "descriptors"), [(200, 4100), (300, 4100), (552, 8192)])
def test_machines_of_the_deployments_have_room(memory_mb: int, descriptors: int) -> None:
    size = ProcessSize(memory_bytes=memory_mb * MB, descriptors=descriptors)
    limits = divide(size, ServingSettings()).unwrap()
    assert limits.callers.connections >= 150
    assert limits.peer_connections >= 300


@pytest.mark.parametrize(
    ("settings", "words"),
    [
        (ServingSettings(caller_connections=2000), "take"),
        (ServingSettings(peer_connections=4000), "descriptors"),
        (ServingSettings(request_memory_mib=200), "take"),
        (ServingSettings(request_memory_mib=1), "the largest one takes"),
        (ServingSettings(caller_connections=2), "are needed"),
        (ServingSettings(grace_ms=20_000), "read_timeout_ms"),
    ],
)
def test_settings_that_cannot_hold_together_are_named(
    settings: ServingSettings, words: str
) -> None:
    size = ProcessSize(memory_bytes=300 * MB, descriptors=4100)
    fault = divide(size, settings).unwrap_err()
    assert words in fault
