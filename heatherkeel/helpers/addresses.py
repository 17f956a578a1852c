"""What can be told from an address alone."""

from __future__ import annotations

import ipaddress


def is_loopback(bind: str) -> bool:
    """Say whether an address `host:port` is reached from this machine only."""
    return ipaddress.ip_address(bind.rpartition(":")[0]).is_loopback
