"""Runs the fleet's partition for as long as this process owns it."""

from __future__ import annotations

from collections.abc import Callable

import trio

from heatherkeel.directory.directory import Directory
from heatherkeel.ownership.holders import Holders
from heatherkeel.platform.settings import InstanceSettings
from heatherkeel.platform.store import StoreClient
from heatherkeel.questions.links import QuestionLinks


class FleetKeeper:
    """Moves and maintains machines."""

    def __init__(
        self,
        *,
        token: int,
        settings: InstanceSettings,
        store: StoreClient,
        directory: Directory,
        holders: Holders,
        links: QuestionLinks,
        may_order: Callable[[], bool],
    ) -> None:
        self.token = token
        self.scope = trio.CancelScope()

    async def async_run(self) -> None:
        """Keep the fleet until `close`."""
        with self.scope:
            await trio.sleep_forever()

    def close(self) -> None:
        """Give the fleet up."""
        self.scope.cancel()
