"""Benchmarks; the commands among the modules run as ``python -m benchmarks.NAME``."""
