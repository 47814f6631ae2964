"""Organisations: their API keys, and the allowances that they have over all nodes."""

from bulrushflow.organisations.allowances import Allowance
from bulrushflow.organisations.allowances import Allowances
from bulrushflow.organisations.allowances import Decision
from bulrushflow.organisations.homes import AllowanceHome
from bulrushflow.organisations.keys import KeyRefusal
from bulrushflow.organisations.keys import Organisation
from bulrushflow.organisations.keys import Organisations
from bulrushflow.organisations.keys import build_organisations
from bulrushflow.organisations.keys import key_digest
from bulrushflow.organisations.limits import AllowanceBounds
from bulrushflow.organisations.limits import Demand
from bulrushflow.organisations.limits import Grant
from bulrushflow.organisations.limits import Holding
from bulrushflow.organisations.limits import HomeChoice
from bulrushflow.organisations.limits import Limit
from bulrushflow.organisations.limits import has_floor
from bulrushflow.organisations.limits import limits_by_organisation

__all__ = [
    "Allowance",
    "AllowanceBounds",
    "AllowanceHome",
    "Allowances",
    "Decision",
    "Demand",
    "Grant",
    "Holding",
    "HomeChoice",
    "KeyRefusal",
    "Limit",
    "Organisation",
    "Organisations",
    "build_organisations",
    "has_floor",
    "key_digest",
    "limits_by_organisation",
]
