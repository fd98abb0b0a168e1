"""Starts the command line of burdockspan from a checkout.

The package is imported from `src`, so that the build step only has to install
its dependencies.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "src"))

from burdockspan.__main__ import main

main()
