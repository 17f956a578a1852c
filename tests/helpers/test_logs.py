"""Tests of JSON Lines logging."""

from __future__ import annotations

import json
import logging
import re
import subprocess
import sys
import textwrap
from typing import Any, Final

import pytest

RFC_3339_UTC: Final = re.compile(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z\Z")
SETUP_CODE: Final = """
import logging, sys, warnings
from heatherkeel.helpers.logs import set_up_logs
set_up_logs(instance="e-a", zone="a")
log = logging.getLogger("x")
"""


def run_and_parse_log(code: str, *, status: int = 0) -> list[dict[str, Any]]:
    argv = [sys.executable, "-c", SETUP_CODE + textwrap.dedent(code)]
    done = subprocess.run(argv, capture_output=True, text=True)
    assert done.returncode == status, done.stderr
    lines = [json.loads(line) for line in done.stderr.splitlines()]
    for line in lines:
        assert RFC_3339_UTC.match(line["time"])
        assert line["instance"] == "e-a" and line["zone"] == "a" and line["event"]
    return lines


def test_line_has_event_and_ids() -> None:
    [line] = run_and_parse_log(
        'log.warning("lost %s", 1, extra={"event": "lost", "request_id": "r-1"})'
    )
    assert line | {"time": ""} == {
        "time": "",
        "level": "WARNING",
        "logger": "x",
        "message": "lost 1",
        "event": "lost",
        "request_id": "r-1",
        "instance": "e-a",
        "zone": "a",
    }


def test_line_that_cannot_be_encoded_is_reported() -> None:
    # A value that can't be encoded must not print a traceback or lose its event.
    lines = run_and_parse_log("""
        class Odd:
            def __str__(self): raise RuntimeError("odd")
            __repr__ = __str__
        cycle = []
        cycle.append(cycle)
        log.error("value %s", Odd(), extra={"event": "odd"})
        log.error("value", extra={"event": "field", "value": Odd()})
        log.error("value %d", "x", extra={"event": "argument"})
        log.error("value", extra={"event": "cycle", "value": cycle})
        log.error("value", extra={"event": Odd()})
        log.error("bytes", extra={"event": "sound", "b": b"\\xff", "s": "\\ud800", "n": "a\\nb"})
        """)
    assert [(line["event"], line.get("log_error")) for line in lines] == [
        ("odd", "RuntimeError"),
        ("field", None),
        ("argument", "TypeError"),
        ("cycle", "ValueError"),
        ("__could_not_encode__", None),
        ("sound", None),
    ]


def test_libraries_warnings_and_crashes_log_json() -> None:
    lines = run_and_parse_log(
        """
        import httpcore, hypercorn.trio, trio
        from absl import logging as absl_logging
        warnings.warn("old")
        absl_logging.error("absl")
        for name in ("hypercorn.error", "httpcore.connection", "h11"):
            logging.getLogger(name).error("from %s", name)
        log.warning("about another", extra={"event": "about", "instance": "t-a", "zone": "b"})
        raise ExceptionGroup("two", [OSError("a"), ValueError("b")])
        """,
        status=1,
    )
    assert [line["event"] for line in lines] == ["log"] * 5 + ["about", "crash"]
    assert lines[5]["about_instance"] == "t-a" and lines[5]["about_zone"] == "b"
    assert "ValueError: b" in lines[6]["exc_info"]


def test_closed_standard_error_does_not_stop_the_process() -> None:
    run_and_parse_log('sys.stderr.close()\nlog.error("nobody hears")\nsys.exit(0)')


@pytest.mark.parametrize("name", ["hypercorn", "httpcore", "absl"])
def test_suppressed_loggers_have_no_handlers(name: str) -> None:
    assert logging.getLogger(name).handlers == []
