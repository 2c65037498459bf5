"""Entry point of the command line interface."""

from __future__ import annotations

import sys

from hoisthook.console.application import run


def main() -> None:
    """Run the command named by the process's arguments and exit with its status."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
