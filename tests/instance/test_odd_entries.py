"""Another writer's odd entry among those of the workers."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
import trio

from ..platform.entries import ENTRY
from .site import open_site

JOBS = [f"{number:016x}" for number in range(1, 4)]
DEEP = b"[" * 200_000 + b"]" * 200_000
ODD: dict[str, dict[str, Any]] = {
    "port of 5,000 digits that begins like a small one": {
        "address": "127.0.0.1:000001" + "0" * 5000
    },
    "port out of range": {"address": "127.0.0.1:65536"},
    "port of 5,000 digits": {"address": "127.0.0.1:" + "9" * 5000},
    "negative port": {"address": "127.0.0.1:-80"},
    "huge start time": {"born": 10**400},
    "huge remaining time": {"remainingMs": 10**400, "state": "draining"},
    "huge capacity": {"capacity": {"cpu": 10**400, "memMb": 1}},
    "negative capacity": {"capacity": {"cpu": -(10**400), "memMb": 1}},
    "huge sequence": {"sequence": 10**4290},
}


def make_odd(change: dict[str, Any]) -> bytes:
    """Return an entry of the site's service with an odd field."""
    document = ENTRY | {"service": "portal", "machine": "odd", "address": "127.0.0.1:9"} | change
    return msgspec.json.encode(document)


def make_deep() -> bytes:
    """Return an entry with a field that is nested very deeply."""
    return make_odd({"more": 1}).replace(b'"more":1', b'"more":' + DEEP)


@pytest.mark.parametrize("entry", [*map(make_odd, ODD.values()), make_deep()], ids=[*ODD, "deep"])
def test_one_odd_entry_neither_ends_a_process_nor_hides_the_list(entry: bytes) -> None:
    """Guards against processes that end, or follow the workers no longer, by one bad entry."""

    async def async_test() -> None:
        async with open_site(processes=1) as site:
            (process,) = site.processes
            site.platform.foreign_entries = {"odd": entry}
            await site.async_wait(lambda: "odd" in process.directory.unreadable)
            # The list is still followed: a machine that comes now gets work.
            await site.platform.async_add_machine("later", "portal")
            worker = site.platform.machines["later"].worker
            assert worker is not None
            await site.async_wait(lambda: worker.id in process.directory.state.workers)
            for job_id in JOBS:
                assert await site.async_submit(process, job_id, "work 20") == 200
                await site.async_wait_state(process, job_id, "complete")
                assert len(site.starts(job_id)) == 2

    trio.run(async_test)
