"""Starts the sidecar from a checkout whose dependencies are on Python's path."""

from bulrushflow.platform.command import main

if __name__ == "__main__":
    main()
