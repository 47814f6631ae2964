"""Starts the sidecar from a source checkout; its dependencies must be on Python's path."""

import gc

gc.disable()  # Collections during the imports find nothing; the command enables them.

from bulrushflow.platform.command import main  # noqa: E402

if __name__ == "__main__":
    main()
