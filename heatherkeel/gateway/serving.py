"""Finds out what a caller requests, and whether its key allows it."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from typing import Final

import trio

from heatherkeel.platform.const import KEY_HEADER
from heatherkeel.platform.operator import Queue
from heatherkeel.workspaces.access import PUBLIC_CALLER, Caller, KeyState

from .cancellation import async_cancel
from .const import CONFIG_WAIT_S, HOME_CHECK_S, HOME_WAIT_S, RETRY_SOON_S
from .exchange import Exchange
from .query import async_query, async_send_queue_length
from .reasons import Refusal
from .submission import async_submit

_JOB_ID: Final = re.compile(r"[0-9a-f]{16}\Z")
_ACTIONS: Final[dict[str, Callable[[Exchange, Queue, str], Awaitable[None]]]] = {
    "POST": async_submit,
    "GET": async_query,
    "DELETE": async_cancel,
}


async def async_serve(exchange: Exchange) -> None:
    """Handle the request and send the response."""
    directory = exchange.context.directory
    if directory.config is not None and not directory.is_config_recent():
        remaining_s = max(0.0, exchange.remaining_s())
        await exchange.context.async_wait_recent(min(CONFIG_WAIT_S, remaining_s))
    exchange.context.config_metrics.observe_request(directory.config_age_ms())
    config = directory.config
    if config is None:
        return await exchange.async_refuse(Refusal.NO_CONFIGURATION, retry_s=RETRY_SOON_S)
    if directory.is_config_superseded():
        return await exchange.async_refuse(Refusal.CONFIG_OUTDATED, retry_s=RETRY_SOON_S)
    exchange.caller = _find_caller(exchange)
    path = exchange.request.path
    host = exchange.request.headers.get("host", "")
    queue = exchange.context.queues.find(config, host=host, path=path)
    if not _is_key_sufficient(exchange, queue):
        return await _async_deny_key(exchange)
    if queue is None:
        return await _async_deny_queue(exchange)
    job_id = path[len(queue.path_prefix) :]
    action = _ACTIONS.get(exchange.request.method)
    if action is None:
        return await exchange.async_refuse(Refusal.WRONG_METHOD)
    if not exchange.context.directory.layout.partitions_of(queue.service):
        # The service or this process is new. Without a layout, processes could store a job in
        # different partitions.
        return await exchange.async_refuse(Refusal.NO_LAYOUT, retry_s=RETRY_SOON_S)
    if not job_id and exchange.request.method == "GET":
        if not directory.is_config_recent():
            # The queue may have been removed.
            return await exchange.async_refuse(Refusal.CONFIG_OUTDATED, retry_s=RETRY_SOON_S)
        return await async_send_queue_length(exchange, queue)
    if not _JOB_ID.match(job_id):
        return await exchange.async_refuse(Refusal.NO_SUCH_QUEUE)
    exchange.home = await _async_find_home(exchange, queue) or ""
    if not exchange.home:
        return await exchange.async_refuse(Refusal.NO_HOME, retry_s=RETRY_SOON_S)
    return await action(exchange, queue, job_id)


async def _async_find_home(exchange: Exchange, queue: Queue) -> str | None:
    """Return the queue's home; for a new queue it is known within a moment.

    Without it, another process could accept the same job in another partition.
    """
    directory = exchange.context.directory
    home = directory.find_home(queue)
    with trio.move_on_after(max(0.0, min(HOME_WAIT_S, exchange.remaining_s()))):
        while home is None:
            await trio.sleep(HOME_CHECK_S)
            home = directory.find_home(queue)
    return home


def _find_caller(exchange: Exchange) -> Caller:
    """Return who sent the request; nobody in particular where callers need no keys."""
    directory = exchange.context.directory
    if not directory.needs_keys:
        return PUBLIC_CALLER
    return directory.keys.find_caller(exchange.request.headers.get(KEY_HEADER))


def _is_key_sufficient(exchange: Exchange, queue: Queue | None) -> bool:
    """Return whether the caller's key allows a call.

    An unknown key is refused before the queue is looked at, so that the answer says nothing
    about which queues and jobs exist. Without a key, only public queues exist or are missing.
    """
    if not exchange.context.directory.needs_keys or exchange.caller.key_state is KeyState.KNOWN:
        return True
    is_public = queue is None or queue.is_public
    return is_public and exchange.caller.key_state is KeyState.ABSENT


async def _async_deny_key(exchange: Exchange) -> None:
    """Refuse a key; "unknown" only if no version can have added it."""
    if exchange.context.directory.is_config_recent():
        return await exchange.async_refuse(Refusal.UNKNOWN_KEY)
    return await exchange.async_refuse(Refusal.CONFIG_OUTDATED, retry_s=RETRY_SOON_S)


async def _async_deny_queue(exchange: Exchange) -> None:
    """Refuse a request for an unknown queue; "not found" only if no version can have added it.

    A job for a known queue is accepted by an older version as well, so that a process which
    can't learn of changes still serves what it can.
    """
    if exchange.context.directory.is_config_recent():
        return await exchange.async_refuse(Refusal.NO_SUCH_QUEUE)
    return await exchange.async_refuse(Refusal.CONFIG_OUTDATED, retry_s=RETRY_SOON_S)
