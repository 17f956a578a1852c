"""JSON-lines logs on standard error: one object a line, whatever is logged and by whom."""

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
"""Event name of a line whose author gave none, as libraries do."""

QUIET_LOGGERS: Final = ("absl", "hypercorn", "httpcore")
"""Libraries that log each step of theirs at INFO or DEBUG."""

OWN_FIELDS: Final = frozenset({"instance", "zone"})


class LineFormatter(JsonFormatter):
    """Writes one record as one JSON object, and never raises.

    A value that can't be encoded (a broken `__str__`, a cycle, a wrong format argument) would
    otherwise print a traceback between the lines, which no collector can read, and lose the
    event. The line that comes instead names the event and what was wrong with it.
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
        # A line about another instance must not pass for a line of that instance.
        for name in OWN_FIELDS & record.__dict__.keys():
            record.__dict__[f"about_{name}"] = record.__dict__.pop(name)
        try:
            return super().format(record)
        except Exception as err:
            return super().format(_describe_failure(record, err))


def _describe_failure(record: logging.LogRecord, err: Exception) -> logging.LogRecord:
    """Make a record of plain words about one that can't be encoded."""
    described = logging.LogRecord(
        record.name, record.levelno, record.pathname, record.lineno, "line not encoded", (), None
    )
    event = record.__dict__.get("event")
    described.event = event if isinstance(event, str) else DEFAULT_EVENT
    described.log_error = type(err).__name__
    described.place = f"{record.module}:{record.lineno}"
    return described


class LineHandler(logging.StreamHandler):  # type: ignore[type-arg]
    """Writes to standard error; a stream that is gone loses lines, never the process."""

    def handleError(self, record: logging.LogRecord) -> None:  # noqa: N802
        """Drop the line: there is nowhere left to tell of it."""


def set_up_logs(
    *, instance: str, zone: str, level: int = logging.INFO, descriptor: int | None = None
) -> None:
    """Write every log line as JSON, with the process's instance and availability zone.

    Lines go to standard error, or bounded and without waiting to another descriptor.
    """
    if descriptor is None:
        handler = LineHandler(sys.stderr)
    else:
        handler = LineHandler(NonBlockingStream(descriptor))
        handler.addFilter(LineLimiter())
    handler.setFormatter(LineFormatter(instance=instance, zone=zone))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.captureWarnings(True)
    for name in QUIET_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)
    sys.excepthook = log_crash


def log_crash(
    kind: type[BaseException], err: BaseException, traceback: TracebackType | None
) -> None:
    """Log what ends the process, in place of a traceback over many lines."""
    _LOGGER.critical("%s", err, exc_info=(kind, err, traceback), extra={"event": "crash"})
