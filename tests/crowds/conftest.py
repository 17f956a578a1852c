"""Fixtures of the tests with crowds."""

from __future__ import annotations

import resource

import pytest

from tests.processes.conftest import fleet as fleet

CLIENT_DESCRIPTORS = 4096


@pytest.fixture(autouse=True, scope="session")
def descriptors_for_clients() -> None:
    """Let this process open enough connections, where the system's default is too low."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = CLIENT_DESCRIPTORS if hard == resource.RLIM_INFINITY else min(CLIENT_DESCRIPTORS, hard)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
