"""Constants of the entry process."""

from __future__ import annotations

from typing import Final

OUTCOME_HEADER: Final = "heatherkeel-outcome"
"""Outcome of the request in every response to a caller: `ran`, `not_run` or `unknown`."""

TARGET_HEADER: Final = "heatherkeel-target"
"""The target that ran the request."""

REQUEST_ID_HEADER: Final = "x-request-id"
"""The caller's id of a request; it is forwarded to the target and logged."""

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
"""Headers that are not forwarded (RFC 9110, section 7.6.1)."""

REASON_HEADER: Final = "heatherkeel-reason"
"""Reason of a refusal; the values are also metric labels."""

REPLAYED_HEADER: Final = "heatherkeel-replayed"
"""Marks the recorded response to an earlier request with the same idempotency key."""

KEY_HEADER: Final = "idempotency-key"
DEADLINE_HEADER: Final = "heatherkeel-deadline-ms"

IDEMPOTENT_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
"""Methods that may be retried (RFC 9110, section 9.2.2)."""

MAX_BUFFERED_RESPONSE_BYTES: Final = 256 * 1024
"""Largest response that is buffered until it is complete; a larger one is streamed."""

MAX_CONNECTION_AGE_MS: Final = 60_000
"""Age at which connections to a target are no longer used, in milliseconds."""

MAX_IDLE_S: Final = 10.0
"""Time after which an idle connection to a target is closed, in seconds."""

MAX_IDLE_CONNECTIONS: Final = 8
"""Idle connections that are kept to one target."""

OUTCOME_WRITE_TIMEOUT_S: Final = 60.0
"""Timeout for writing the outcome of a claimed request, in seconds."""

CALLER_WATCH_INTERVAL_MS: Final = 50
"""Interval at which disconnect watchers are started for open requests, in milliseconds."""

CONNECTION_CLOSE_INTERVAL_MS: Final = 1_000
"""Interval at which unused connections are closed, in milliseconds."""

HEALTH_PATH: Final = "/healthz"
"""Path of a target's health check; a healthy target responds with 200."""

WRITE_TIMEOUT_S: Final = 5.0
"""Timeout for a duty's record to be settled, in seconds."""

FINISH_MARGIN_S: Final = 5.0
"""Time to finish a response to a slow caller after its request's deadline, in seconds."""

START_FIRST_DELAY_S: Final = 0.1
START_MAX_DELAY_S: Final = 2.0
"""Delays between attempts to load the initial state, in seconds; they double up to the longest."""

LEAVE_TIMEOUT_S: Final = 2.0
"""Timeout for the leave record of a stopping process to be settled, in seconds."""

MAX_DRAINS_PER_ACKNOWLEDGEMENT: Final = 256
"""Most drains in one acknowledgement record; the rest follows in the next one."""

TAKEOVER_MS: Final = 1_500
"""Time after which the entry instance of the next rank takes over work, in milliseconds."""

RETRY_MS: Final = 1_000
"""Time before one entry instance retries the same piece of work, in milliseconds."""

PROBE_TIMEOUT_S: Final = 1.0
"""Timeout of a health probe, in seconds."""

WORKER_ROLE: Final = "worker"
"""Role of targets in the platform's list."""

ACKNOWLEDGE_INTERVAL_MS: Final = 50
"""Interval at which a process checks for drains to acknowledge, in milliseconds."""

COORDINATE_INTERVAL_MS: Final = 100
"""Interval at which a process checks for due steps of drains, in milliseconds."""

IDLE_INTERVAL_MS: Final = 500
"""Interval at which a duty checks for work while it is idle, in milliseconds."""

PLAN_INTERVAL_MS: Final = 500
"""Interval at which the entry instance of rank 0 plans new drains, in milliseconds."""

REBOOT_POLL_MS: Final = 250
"""Interval at which the progress of a reboot is polled, in milliseconds."""

OBSERVE_INTERVAL_MS: Final = 500
"""Interval at which a process checks for suspect instances, in milliseconds."""

PROBE_RETRY_MS: Final = 5_000
"""Time before one process probes the same suspect instance again, in milliseconds."""
