"""Constants of the entry process."""

from __future__ import annotations

from typing import Final

OUTCOME_HEADER: Final = "heatherkeel-outcome"
"""Says `ran`, `not_run` or `unknown` on every answer to a caller."""

TARGET_HEADER: Final = "heatherkeel-target"
"""Names the target that ran the request."""

REQUEST_ID_HEADER: Final = "x-request-id"
"""The caller's own id of a request; it goes on to the target, and into logs."""

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

REASON_HEADER: Final = "heatherkeel-reason"
"""Names why a request got no answer of a target; the same words label the counters."""

REPLAYED_HEADER: Final = "heatherkeel-replayed"
"""Says that an answer is the recorded one of an earlier request with the same key."""

KEY_HEADER: Final = "idempotency-key"
DEADLINE_HEADER: Final = "heatherkeel-deadline-ms"

IDEMPOTENT_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
"""Methods that may be sent again (RFC 9110, section 9.2.2)."""

MAX_HELD_ANSWER_BYTES: Final = 256 * 1024
"""Largest answer that is held until it is whole; of a larger one the parts are passed on."""

MAX_CONNECTION_AGE_MS: Final = 60_000
"""Age at which connections to a target are used no more."""

MAX_IDLE_S: Final = 10.0
"""Time after which an idle connection to a target is closed."""

MAX_IDLE_CONNECTIONS: Final = 8
"""Idle connections that are kept to one target: no more than it has slots."""

OUTCOME_WRITE_TIMEOUT_S: Final = 60.0
"""How long the outcome of a claimed request is tried to be written."""

WATCH_INTERVAL_MS: Final = 50
"""How often the callers of requests that are still open begin to be watched."""

CLOSE_INTERVAL_MS: Final = 1_000
"""How often connections that are used no more are closed."""

HEALTH_PATH: Final = "/healthz"
"""Where targets answer health probes with 200."""

WRITE_TIMEOUT_S: Final = 5.0
"""How long a duty waits for the fold to decide its record."""

FINISH_MARGIN_S: Final = 5.0
"""Time for an answer to reach a slow caller after the deadline of its request."""

START_FIRST_PAUSE_S: Final = 0.1
START_LONGEST_PAUSE_S: Final = 2.0
"""Pauses between tries to find a state to serve by; they double from the first to the longest."""

LEAVE_TIMEOUT_S: Final = 2.0
"""How long a process that stops waits for the fold to take its leave."""

MAX_ACKNOWLEDGED_AT_ONCE: Final = 256
"""Drains that one acknowledgement names; the rest follows in the next one."""

TAKEOVER_MS: Final = 1_500
"""How long shared work lies undone before the next entry instance in line takes it over."""

RETRY_MS: Final = 1_000
"""How long one entry instance waits before it does the same piece of shared work again."""

PROBE_TIMEOUT_S: Final = 1.0
"""How long a target may take to answer a health probe."""

WORKER_ROLE: Final = "worker"
"""The role of targets in the platform's list."""

ACKNOWLEDGE_INTERVAL_MS: Final = 50
"""How often a process looks whether it can acknowledge a drain; mostly there is none."""

COORDINATE_INTERVAL_MS: Final = 100
"""How often a process looks for steps of drains that are its turn."""

IDLE_INTERVAL_MS: Final = 500
"""How often a duty looks for work while there is none: as often as a plan is made."""

PLAN_INTERVAL_MS: Final = 500
"""How often the entry instance that is first in line plans new drains."""

RETURN_POLL_MS: Final = 250
"""How often the platform is asked how far a reboot is."""

OBSERVE_INTERVAL_MS: Final = 500
"""How often a process looks for instances in doubt."""

OBSERVE_AGAIN_MS: Final = 5_000
"""How long one process waits before it probes the same instance in doubt again."""
