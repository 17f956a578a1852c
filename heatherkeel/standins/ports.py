"""Ports that a stand-in keeps while it is away."""

from __future__ import annotations

import socket


def hold_port(bind: str) -> socket.socket:
    """Bind the port without listening, so that nobody else gets it meanwhile."""
    host, port = bind.rsplit(":", 1)
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((host, int(port)))
    return holder
