"""Organisations: their API keys, and the allowances that they have over all nodes."""

from bulrushflow.organisations.keys import KeyRefusal
from bulrushflow.organisations.keys import Organisation
from bulrushflow.organisations.keys import Organisations
from bulrushflow.organisations.keys import build_organisations
from bulrushflow.organisations.keys import key_digest

__all__ = [
    "KeyRefusal",
    "Organisation",
    "Organisations",
    "build_organisations",
    "key_digest",
]
