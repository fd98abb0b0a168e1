"""Entry point of `burdockspan` and `python -m burdockspan`."""

from __future__ import annotations

from burdockspan.cli.root import root


def main() -> None:
    """Runs the command line and exits with its code."""
    root.main(prog_name="burdockspan")


if __name__ == "__main__":
    main()

__all__ = ["main"]
