"""`heatherkeel entry`: run one entry process."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec
import trio
from absl import flags

from heatherkeel.helpers.logs import set_up_logs
from heatherkeel.settings.models import EntrySettings

from .registry import command


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_string("settings", None, "Settings file (TOML).", flag_values=values)


@command("entry", help="Run one entry process.", usage="--settings=FILE", define=_define)
def run_entry(values: flags.FlagValues, args: list[str]) -> int:
    """Run one entry process until it is told to stop."""
    from heatherkeel.entry.process import async_run_entry

    text = Path(values.settings).read_text(encoding="utf-8")
    settings = msgspec.convert(tomllib.loads(text), EntrySettings)
    set_up_logs(instance=settings.instance.id, zone=settings.instance.zone)
    trio.run(async_run_entry, settings)
    return 0
