"""Starts the sidecar from a source checkout; its dependencies must be on Python's path."""

from bulrushflow.platform.command import main

if __name__ == "__main__":
    main()
