"""Constants of the entry process."""

from __future__ import annotations

from typing import Final

OUTCOME_HEADER: Final = "heatherkeel-outcome"
"""Says `ran`, `not_run` or `unknown` on every answer to a caller."""

INSTANCE_HEADER: Final = "heatherkeel-target"
"""Names the target that ran the request."""

HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that concern one connection only (RFC 9110, section 7.6.1)."""

DEFAULT_RETRY_AFTER_S: Final = 1
