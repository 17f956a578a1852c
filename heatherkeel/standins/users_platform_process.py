"""Runs the users' platform as a process: store, machines' service, and control address."""

from __future__ import annotations

import logging

import trio

from heatherkeel.helpers.signals import async_wait_for_stop
from heatherkeel.http_server.server import HttpServer

from .control_api import ControlApi
from .faults import Faults
from .keyed_log import KeyedLog
from .machines_api import MachinesApi
from .remote_machines import RemoteMachines
from .serving import Handle, make_app
from .store_api import LOOK_S, StoreApi

_LOGGER = logging.getLogger(__name__)
_ANY_PORT = "127.0.0.1:0"


class UsersPlatformProcess:
    """The platform's parts, whose workers are processes of their own."""

    def __init__(
        self, *, bind: str, standby: str, partitions: int, entry_ttl_s: float, away_s: float
    ) -> None:
        log, faults = KeyedLog(partitions=partitions), Faults()
        store_api = StoreApi(log=log, faults=faults)
        self.machines = RemoteMachines(
            log=log, faults=faults, standby=standby, entry_ttl_s=entry_ttl_s, away_s=away_s
        )
        machines_api = MachinesApi(
            machines=self.machines.by_name, async_take_away=self.machines.async_take_away
        )
        control_api = ControlApi(log=log, faults=faults, store=store_api, machines=self.machines)
        self.servers = {
            "store": _serve(store_api.async_handle, bind),
            "side_store": _serve(store_api.async_handle_side, _ANY_PORT),
            "cloud": _serve(machines_api.async_handle, _ANY_PORT),
            "control": _serve(control_api.async_handle, _ANY_PORT),
        }

    async def start(self, nursery: trio.Nursery) -> None:
        """Open all ports."""
        for server in self.servers.values():
            await server.start(nursery)
        nursery.start_soon(self._async_expire_entries)

    async def _async_expire_entries(self) -> None:
        while True:
            self.machines.expire_entries()
            await trio.sleep(LOOK_S)


def _serve(handle: Handle, bind: str) -> HttpServer:
    return HttpServer(app=make_app(handle), bind=bind, graceful_timeout_s=0.1)


async def async_run_users_platform(platform: UsersPlatformProcess) -> None:
    """Serve the platform until the process is told to stop."""
    async with trio.open_nursery() as nursery:
        await platform.start(nursery)
        addresses = {name: server.address for name, server in platform.servers.items()}
        _LOGGER.info("listening", extra={"event": "listening", **addresses})
        await async_wait_for_stop()
        nursery.cancel_scope.cancel()
