"""The node's HTTP endpoint for operators and the ``bulrushflow`` command line."""
