"""Checks that two builds of this project work together; run by ``scripts.mixed_builds``."""
