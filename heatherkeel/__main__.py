"""Entry point of the one program."""

from __future__ import annotations

import os
import sys

from heatherkeel.cli.const import EXIT_FAILED
from heatherkeel.cli.main import main as run_main


def main() -> None:
    """Run the command line and exit with its status."""
    try:
        status = run_main(sys.argv[1:])
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of a pipe, such as `head`, has seen enough. The interpreter's own flush at
        # the exit would print a traceback, so it gets somewhere to write.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        status = EXIT_FAILED
    sys.exit(status)


if __name__ == "__main__":
    main()
