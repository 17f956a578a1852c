"""`heatherkeel version`: print the version."""

from __future__ import annotations

from absl import flags

from heatherkeel import VERSION

from .const import EXIT_OK
from .registry import command


@command("version", help="Print the version.")
def run_version(values: flags.FlagValues, args: list[str]) -> int:
    """Print the version."""
    print(f"heatherkeel {VERSION}")
    return EXIT_OK
