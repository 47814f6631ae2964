"""Checked settings of a sidecar."""

import msgspec

from bulrushflow.organisations import AllowanceBounds


class Endpoint(msgspec.Struct, frozen=True):
    """An IP address and a TCP port."""

    address: str
    port: int

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


class Bounds(msgspec.Struct, frozen=True):
    """Limits that the operators guarantee to their users and that the sidecar has to meet."""

    grace_s: float = 6.0
    """Grace period: seconds between the stop request and the kill."""
    config_apply_s: float = 2.0
    """Seconds within which a change of the operator's records has to be in force."""
    retry_window_s: float = 10.0
    retry_ratio: float = 0.2
    """Retry budget: retries allowed for each call of a service, over all nodes."""
    retry_slack: float = 60.0
    """Retries of a service allowed in one window beyond the ratio, over all nodes."""
    unproved_share: float = 0.1
    """Fraction of a service's calls until a rollout's deadline that a faulty version may get."""
    unproved_slack: float = 50.0
    """Calls beyond that fraction that a faulty version may get."""
    cold_over: float = 1.5
    """Factor on the rate of a cold target in the bound on its calls in any second."""
    cold_slack: float = 8.0
    """Calls beyond it that a cold target may get in any second."""
    allowances: AllowanceBounds = AllowanceBounds()
    """How far the requests of one organisation may exceed its limit, over all nodes."""


class SidecarSettings(msgspec.Struct, frozen=True):
    """All settings of one sidecar."""

    node_id: str
    address: str
    data_centre: str
    peer_port: int
    metrics_port: int
    callers: Endpoint
    readiness: Endpoint
    announcements: Endpoint
    target: Endpoint | None
    own_service: str
    store: Endpoint
    link_mbps: float | None = None
    """Bandwidth of this instance's link in megabits per second, by which large responses are paced;
    ``None`` if it isn't known."""
    bounds: Bounds = Bounds()
    limits_waits: bool = False
    """Whether calls wait for a slot only briefly, and refusals say when to return."""
    places_by_work: bool = False
    """Whether targets are chosen by the work that they are expected to have left."""
