"""Exit statuses of the program."""

from __future__ import annotations

from typing import Final

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
"""It was asked rightly and could not be done."""

EXIT_USAGE: Final = 2
"""The command line, or a file that it names, is wrong."""

EXIT_UNKNOWN: Final = 3
"""It may have been done: nobody could say in time."""
