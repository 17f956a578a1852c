"""What is relied on of hypercorn beyond its public parts; a later version may change it."""

from __future__ import annotations

import inspect
from importlib.metadata import version

from hypercorn.config import Config
from hypercorn.protocol import h11 as h11_protocol
from hypercorn.protocol import http_stream
from hypercorn.trio import task_group, tcp_server, worker_context

PINNED = "0.18.0"


def test_version_is_the_one_that_was_read() -> None:
    """Guards against a version whose internals nobody has compared with these."""
    assert version("hypercorn") == PINNED


def test_protocol_asks_these_methods() -> None:
    """Guards against upgrades that come back because an overridden method isn't called any more."""
    handled = inspect.getsource(h11_protocol.H11Protocol._handle_events)
    assert "self._check_protocol(event)" in handled
    assert "self._create_stream(event)" in handled
    recycled = inspect.getsource(h11_protocol.H11Protocol._maybe_recycle)
    assert "self.connection.our_state is h11.DONE" in recycled
    names = ["self", "app", "config", "context", "task_group", "connection_state", "ssl"]
    names += ["client", "server", "send"]
    assert list(inspect.signature(h11_protocol.H11Protocol.__init__).parameters) == names


def test_stream_passes_what_the_application_gets() -> None:
    """Guards against messages that pass by the bounded queue."""
    handled = inspect.getsource(http_stream.HTTPStream.handle)
    assert "self.app_put = await self.task_group.spawn_app(" in handled
    assert 'self.app_put({"type": "http.disconnect"})' in handled
    names = ["app", "config", "scope", "receive", "send", "sync_spawn", "call_soon"]
    assert list(inspect.signature(task_group._handle).parameters) == names


def test_server_has_these_parts() -> None:
    """Guards against a server that reads or closes its connection in another way."""
    server = tcp_server.TCPServer
    assert "self.stream.receive_some(" in inspect.getsource(server._read_data)
    assert "await self._close()" in inspect.getsource(server.protocol_send)
    assert "cancel_scope.shield = True" in inspect.getsource(server.protocol_send)
    assert "self.config.keep_alive_timeout" in inspect.getsource(server._idle_timeout)
    assert list(inspect.signature(worker_context.WorkerContext.__init__).parameters) == [
        "self",
        "max_requests",
    ]


def test_configuration_has_these_settings() -> None:
    config = Config()
    assert (config.backlog, config.h11_max_incomplete_size) == (100, 16 * 1024)
    assert callable(config.create_sockets) and callable(config.create_ssl_context)
