"""Helpers for network addresses."""

from __future__ import annotations

import ipaddress


def is_loopback(bind: str) -> bool:
    """Return whether an address `host:port` is a loopback address."""
    return ipaddress.ip_address(bind.rpartition(":")[0]).is_loopback
