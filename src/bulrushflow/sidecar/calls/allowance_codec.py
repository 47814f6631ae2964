"""Conversion between allowances and their thrift messages."""

import math
import typing as t

from bulrushflow.organisations import Demand
from bulrushflow.organisations import Grant
from bulrushflow.organisations import Holding
from bulrushflow.wire import messages


def request_to_message(node_key: str, demands: t.Iterable[Demand]) -> t.Any:
    """Return the message for a node's reports."""
    return messages.AllowancesRequest(
        node_key=node_key,
        demands=[
            messages.AllowanceDemand(
                organisation=demand.organisation,
                per_s=demand.per_s,
                wanted=demand.wanted,
                held_per_s=demand.held_per_s,
                held_depth=demand.held_depth,
                spent=demand.spent,
                unused=demand.unused,
            )
            for demand in demands
        ],
    )


def demands_from_message(message: t.Any) -> list[Demand]:
    """Return the reports of a node; numbers that make no sense count as 0."""
    return [
        Demand(
            item.organisation,
            _quantity(item.per_s),
            max(0, item.wanted),
            _quantity(item.held_per_s),
            _quantity(item.held_depth),
            max(0, item.spent),
            _quantity(item.unused),
        )
        for item in message.demands
    ]


def grants_to_message(grants: t.Iterable[Grant]) -> t.Any:
    """Return the message for a home's grants."""
    return messages.AllowancesAnswer(
        grants=[
            messages.AllowanceGrant(
                organisation=grant.organisation,
                share_per_s=grant.share_per_s,
                share_depth=grant.share_depth,
                tokens=grant.tokens,
                retry_after_ms=math.ceil(grant.retry_after_s * 1000),
                renew_after_ms=int(grant.renew_after_s * 1000),
                fallback_per_s=grant.fallback_per_s,
            )
            for grant in grants
        ]
    )


def grants_from_message(message: t.Any) -> dict[str, Grant]:
    """Return a home's grants by organisation."""
    return {
        item.organisation: Grant(
            item.organisation,
            _quantity(item.share_per_s),
            _quantity(item.share_depth),
            max(0, item.tokens),
            max(0, item.retry_after_ms) / 1000,
            max(0, item.renew_after_ms) / 1000,
            _quantity(item.fallback_per_s),
        )
        for item in message.grants
    }


def holdings_to_message(holdings: t.Iterable[Holding]) -> t.Any:
    """Return the message for the shares that a node holds."""
    return messages.Holdings(
        holdings=[
            messages.AllowanceHolding(
                organisation=holding.organisation, per_s=holding.per_s, depth=holding.depth
            )
            for holding in holdings
        ]
    )


def holdings_from_message(message: t.Any) -> list[Holding]:
    """Return the shares that a node holds."""
    return [
        Holding(item.organisation, _quantity(item.per_s), _quantity(item.depth))
        for item in message.holdings
    ]


def _quantity(value: float) -> float:
    return value if math.isfinite(value) and value > 0 else 0.0
