"""Requests while the configuration may be, or is known to be, outdated."""

from __future__ import annotations

from functools import partial
from typing import Any

import msgspec
import pytest
import trio
from result import Ok

from heatherkeel.directory.const import DEFAULT_APPLY_MS
from heatherkeel.platform.store import PartitionHealth
from tests.instance.site import STEP

from .calling import JOB_PATH, async_call, make_app
from .test_lookup import FakeLinks, FakeStore

QUEUE_PATH = "/q/"
UNKNOWN_PATH = "/added/"
DEADLINE_MS = 750
BODY = msgspec.json.encode({"spec": "work 50", "steps": [STEP]})


class AcceptingStore(FakeStore):
    """A store that takes every append."""

    def __init__(self) -> None:
        self.down = set()

    def find_health(self, topic: str, partition: int) -> PartitionHealth:
        """Return a healthy partition."""
        return PartitionHealth()

    async def async_append(self, *_: Any, **__: Any) -> Ok[None]:
        """Take the records."""
        return Ok(None)


def call(method: str, path: str, *, config_age_ms: int, named_version: int = 0) -> dict[str, Any]:
    """Send a request to a process that knows version 1; returns the start of the response."""
    app = make_app(
        AcceptingStore(),
        FakeLinks({0: 3}),
        config_age_ms=config_age_ms,
        named_version=named_version,
    )
    return trio.run(partial(async_call, app, method, deadline_ms=DEADLINE_MS, body=BODY, path=path))


@pytest.mark.parametrize("path", [UNKNOWN_PATH, QUEUE_PATH])
def test_old_configuration_neither_denies_nor_counts_a_queue(path: str) -> None:
    """Guards against 404 for a queue that was added, and a count of one that was removed."""
    head = call("GET", path, config_age_ms=DEFAULT_APPLY_MS)
    assert head["status"] == 503
    assert (b"retry-after", b"1") in head["headers"]


def test_recent_configuration_denies_and_counts() -> None:
    assert call("GET", UNKNOWN_PATH, config_age_ms=0)["status"] == 404
    assert call("GET", QUEUE_PATH, config_age_ms=0)["status"] == 200


def test_job_of_a_known_queue_is_accepted_by_an_old_configuration() -> None:
    """Guards against a process that can't learn of changes refusing what it can serve."""
    assert call("POST", JOB_PATH, config_age_ms=60_000)["status"] == 200


@pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
def test_nothing_is_answered_by_a_version_that_is_known_to_be_outdated(method: str) -> None:
    """Guards against acting on a version and then answering by an older one."""
    assert call(method, JOB_PATH, config_age_ms=0, named_version=2)["status"] == 503
