"""What the commands share that talk to an admin port: its flags, and the team's token."""

from __future__ import annotations

import os
import re
from pathlib import Path
from typing import Final

from absl import flags

from heatherkeel.settings.const import ADDRESS_PATTERN

TOKEN_VARIABLE: Final = "HEATHERKEEL_TOKEN"


class UsageError(Exception):
    """The command line, or a file that it names, is wrong."""


def define_admin(values: flags.FlagValues) -> None:
    """Define the flags that name an admin port and how to get in."""
    flags.DEFINE_string("admin", None, "Admin port of an entry instance.", flag_values=values)
    flags.register_validator(  # type: ignore[no-untyped-call]
        "admin",
        lambda admin: admin is None or re.match(ADDRESS_PATTERN, admin) is not None,
        message="expected an IP number and a port, such as 127.0.0.1:8080",
        flag_values=values,
    )
    flags.DEFINE_string(
        "token-file",
        None,
        f"File with the team's token; else {TOKEN_VARIABLE}.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "cafile",
        None,
        "Certificates that vouch for the admin port; turns TLS on.",
        flag_values=values,
    )


def read_token(file: str | None) -> str:
    """Return the team's token; raises `UsageError` if its file can't be read."""
    if not file:
        return os.environ.get(TOKEN_VARIABLE, "")
    try:
        return Path(file).read_text(encoding="utf-8").strip()
    except (OSError, ValueError) as err:
        raise UsageError(f"--token-file {file}: {err}") from err
