"""Configurations of any size, as operators write them."""

from __future__ import annotations

import random
from typing import Any, Final

import msgspec

SERVICES: Final = ("intake", "billing", "prepay", "backoffice")
LETTERS: Final = "abcdefghijklmnopqrstuvwxyz0123456789"


def make_configuration(queues: int) -> bytes:
    """Return a configuration with names like those of operators; the same for each call."""
    draw = random.Random(queues)

    def word(length: int) -> str:
        return "".join(draw.choices(LETTERS, k=length))

    routes: list[dict[str, Any]] = [
        {
            "name": f"r-{word(7)}",
            "host": f"{word(5)}{draw.randint(1, 30)}.example",
            "pathPrefix": f"/{word(8)}/",
            "kind": "non_idempotent",
            "timeoutMs": draw.randint(3000, 3030),
            "targetLatencyMs": draw.randint(600, 610),
            "priority": draw.randint(0, 1),
            "service": draw.choice(SERVICES),
            "maxAttempts": 2,
            "slackFactor": 2.2,
        }
        for _ in range(queues)
    ]
    services = [{"name": service, "standby": False} for service in SERVICES]
    return msgspec.json.encode({"version": 1, "routes": routes, "services": services})
