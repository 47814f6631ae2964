"""The test suite; run it with ``python -m tests``.

Hypothesis generates the same examples in each run, also under other test runners.
"""

from hypothesis import settings

settings.register_profile("same-verdict", derandomize=True, deadline=None, database=None)
settings.load_profile("same-verdict")
