"""Entry point of the one program."""

from __future__ import annotations

import sys

from heatherkeel.cli.main import main as run_main


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(run_main(sys.argv[1:]))


if __name__ == "__main__":
    main()
