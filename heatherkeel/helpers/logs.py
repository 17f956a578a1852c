"""JSON Lines logging: one object per line, also for libraries, warnings and crashes."""

from __future__ import annotations

import logging
import sys
from datetime import UTC, datetime
from types import TracebackType
from typing import Final

from pythonjsonlogger.json import JsonFormatter

from .bounded_logs import LineLimiter, NonBlockingStream

_LOGGER = logging.getLogger(__name__)

DEFAULT_EVENT: Final = "log"
"""Event name of a line without one, such as a line from a library."""

SUPPRESSED_LOGGERS: Final = ("absl", "hypercorn", "httpcore")
"""Libraries whose INFO and DEBUG lines are suppressed."""

OWN_FIELDS: Final = frozenset({"instance", "zone"})


class LineFormatter(JsonFormatter):
    """Formats a record as one JSON object.

    If a value can't be encoded (a broken `__str__`, a cycle, a wrong format argument), a line
    with the event and the error is written instead of a traceback that collectors can't parse.
    """

    def __init__(self, *, instance: str, zone: str) -> None:
        super().__init__(
            "{asctime}{levelname}{name}{message}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            defaults={"event": DEFAULT_EVENT},
            static_fields={"instance": instance, "zone": zone},
        )

    def formatTime(  # noqa: N802
        self, record: logging.LogRecord, datefmt: str | None = None
    ) -> str:
        """Return the time as RFC 3339 in UTC, in milliseconds."""
        moment = datetime.fromtimestamp(record.created, UTC)
        return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")

    def format(self, record: logging.LogRecord) -> str:
        """Return the record's line."""
        # Keep fields about another instance apart from the fields of this one.
        for name in OWN_FIELDS & record.__dict__.keys():
            record.__dict__[f"about_{name}"] = record.__dict__.pop(name)
        try:
            return super().format(record)
        except Exception as err:
            return super().format(_describe_failure(record, err))


def _describe_failure(record: logging.LogRecord, err: Exception) -> logging.LogRecord:
    """Return a record that describes one that can't be encoded."""
    described = logging.LogRecord(
        record.name, record.levelno, record.pathname, record.lineno, "line not encoded", (), None
    )
    event = record.__dict__.get("event")
    described.event = event if isinstance(event, str) else DEFAULT_EVENT
    described.log_error = type(err).__name__
    described.place = f"{record.module}:{record.lineno}"
    return described


class LineHandler(logging.StreamHandler):  # type: ignore[type-arg]
    """Writes log lines, and drops those that its stream can't take."""

    def handleError(self, record: logging.LogRecord) -> None:  # noqa: N802
        """Drop the line, as the error can't be reported."""


def set_up_logs(
    *, instance: str, zone: str, level: int = logging.INFO, descriptor: int | None = None
) -> None:
    """Configure JSON logging with the process's instance and availability zone.

    Lines go to standard error, or rate-limited and without blocking to `descriptor`.
    """
    if descriptor is None:
        handler = LineHandler(sys.stderr)
    else:
        handler = LineHandler(NonBlockingStream(descriptor))
        handler.addFilter(LineLimiter())
    handler.setFormatter(LineFormatter(instance=instance, zone=zone))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.captureWarnings(True)
    for name in SUPPRESSED_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)
    sys.excepthook = log_crash


def log_crash(
    kind: type[BaseException], err: BaseException, traceback: TracebackType | None
) -> None:
    """Log an uncaught exception as one line."""
    _LOGGER.critical("%s", err, exc_info=(kind, err, traceback), extra={"event": "crash"})
