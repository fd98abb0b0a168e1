from __future__ import annotations

import os

from hypothesis import settings

# Derandomized without a deadline, so that the verdict of a run depends neither
# on a random seed nor on how busy the machine is.
settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, print_blob=True
)
settings.register_profile("long", deadline=None, max_examples=10_000)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
