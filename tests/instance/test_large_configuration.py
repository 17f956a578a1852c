"""Large configurations over the link of the smallest machine."""

from __future__ import annotations

from typing import Any, Final

import msgspec
import trio

from .site import QUEUE, open_site
from .test_config_under_faults import APPLY_S, async_add_side_processes

QUEUES: Final = 2850
"""Number of further queues; with their version they take 0.9 s of the link."""
LINK_BYTES_S: Final = 625_000.0
"""Bandwidth of the smallest machine's link, in bytes a second."""
MAX_COPIES: Final = 1.3
"""How many times a version may pass the link, with everything that passes it meanwhile."""
FIELDS: Final = {"kind": "non_idempotent", "timeoutMs": 3007, "priority": 0}
"""Fields that every route has beside those of the site's queue."""


def list_queues(version: int, count: int) -> list[dict[str, Any]]:
    """Return the site's queue and further ones, of which the last is new in each version."""
    prefixes = [f"/further{number}/" for number in range(count)] + [f"/new{version}/"]
    return [QUEUE] + [
        QUEUE | FIELDS | {"name": f"r{prefix.strip('/')}", "pathPrefix": prefix}
        for prefix in prefixes
    ]


def test_large_versions_arrive_in_time_over_a_slow_link() -> None:
    """Guards against giving up answers that are arriving, so that no version ever arrives."""

    async def async_test() -> None:
        async with open_site(processes=0) as site:
            (process,) = await async_add_side_processes(site, 1)
            await site.async_wait(lambda: bool(process.owners))
            site.platform.side_link.bytes_per_s = LINK_BYTES_S
            site.platform.side_link.sent_bytes = 0
            arrived: list[int] = []
            written_bytes = 0
            for version in range(2, 6):
                queues = list_queues(version, QUEUES)
                site.platform.configure(version, queues, ["portal", "spare"])
                written_bytes += len(msgspec.json.encode(queues))
                with trio.move_on_after(APPLY_S):
                    while process.directory.state.config_version() < version:
                        await trio.sleep(0.01)
                    arrived.append(version)
                    # The next version comes when this one's time is over.
                    await trio.sleep_forever()
            assert arrived == [2, 3, 4, 5]
            assert site.platform.side_link.sent_bytes <= MAX_COPIES * written_bytes

    trio.run(async_test)


def test_processes_hand_over_what_their_links_are_too_small_for() -> None:
    """Guards against processes that learn of no large version from those that have it."""

    async def async_test() -> None:
        async with open_site(processes=1) as site:
            small = await async_add_side_processes(site, 4)
            await site.async_wait(lambda: all(len(p.peers.known) >= 4 for p in small))
            # Each copy for all four takes three times as long as a version may.
            site.platform.side_link.bytes_per_s = LINK_BYTES_S / 2
            site.platform.side_link.sent_bytes = written_bytes = 0
            for version in (2, 3):
                queues = list_queues(version, QUEUES)
                written_bytes += len(msgspec.json.encode(queues))
                site.platform.configure(version, queues, ["portal", "spare"])
                with trio.move_on_after(APPLY_S):
                    await trio.sleep_forever()
                assert [p.directory.state.config_version() for p in small] == [version] * 4
            assert site.platform.side_link.sent_bytes <= len(small) * written_bytes

    trio.run(async_test)
