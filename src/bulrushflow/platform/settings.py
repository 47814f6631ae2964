"""Decoding of the platform's settings file into the sidecar's settings."""

import os
import pathlib
import re
import tomllib
import typing as t

import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.addresses import parse_address
from bulrushflow.organisations import AllowanceBounds
from bulrushflow.sidecar.settings import Bounds
from bulrushflow.sidecar.settings import Endpoint
from bulrushflow.sidecar.settings import SidecarSettings

SETTINGS_VARIABLE = "BULRUSHFLOW_NODE_FILE"
DEFAULT_PATH = "/etc/bulrushflow/local.toml"
LOAD_CONTRACTS = frozenset({"pool", "health"})
"""Contracts of deployments whose callers share too little capacity."""
MAX_DURATION_S = 10 * 365 * 86_400
_DURATION = re.compile(r"^\s*([0-9]+(?:\.[0-9]+)?)\s*(ms|s)\s*$")


def parse_duration(text: t.Any) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s`` and return it in seconds.

    :raises ValueError: if the text is no such duration, or one above :data:`MAX_DURATION_S`.
    """
    found = _DURATION.match(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f"{str(text)[:40]!r} is no duration such as 1500ms or 2.5s")
    seconds = float(found[1]) / (1000 if found[2] == "ms" else 1)
    if seconds > MAX_DURATION_S:
        raise ValueError(f"{text[:40]!r} is longer than {MAX_DURATION_S} s")
    return seconds


class _Listen(msgspec.Struct):
    outbound: str  # listener for the callers on this instance
    ready: str  # listener for the platform's readiness checks
    control: str  # listener for the announcements of this node's target
    inbound: str = ""  # unused: traffic between nodes uses the peer port


class _Bounds(msgspec.Struct):
    configApply: str = "2s"  # noqa: N815  within which a change has to be in force
    grace: str = "6s"  # time between SIGTERM and SIGKILL
    budgetWindow: str = "10s"  # noqa: N815  window in which retries are counted
    retryBudgetRatio: float = 0.2  # noqa: N815
    retryBudgetSlack: float = 60.0  # noqa: N815
    canaryShare: float = 0.1  # noqa: N815  fraction of a service's calls for a faulty version
    canarySlack: float = 50.0  # noqa: N815  calls beyond that fraction
    coldOver: float = 1.5  # noqa: N815  factor on a cold target's rate in any second
    coldSlack: float = 8.0  # noqa: N815  calls beyond that
    quotaWindow: str = "5s"  # noqa: N815  window in which an organisation's calls are counted
    quotaOver: float = 0.1  # noqa: N815  fraction of its limit that they may exceed it by
    quotaSlack: float = 20.0  # noqa: N815  calls beyond that fraction


class _Limits(msgspec.Struct):
    linkMbps: float | None = None  # noqa: N815  bandwidth of the instance's link


class _Platform(msgspec.Struct):
    address: str  # of the store


class _File(msgspec.Struct):
    nodeName: str  # noqa: N815
    ip: str
    zone: str  # data centre
    internalPortRange: tuple[int, int]  # noqa: N815  first and last port free for the node
    listen: _Listen
    platform: _Platform
    appAddr: str = ""  # noqa: N815  address of this node's target
    service: str = ""  # service of that target
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    contracts: t.Any = ()  # names of guarantees, as a list or as the keys of a table


def settings_path() -> pathlib.Path:
    """Return the path of the settings file."""
    return pathlib.Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))


def load_settings(path: pathlib.Path) -> Result[SidecarSettings, str]:
    """Read and check a settings file; unknown fields are ignored.

    The error names the file or the invalid field.
    """
    try:
        return decode_settings(path.read_bytes())
    except OSError as exc:
        return Err(f"{path}: {exc.strerror}")


def decode_settings(data: bytes) -> Result[SidecarSettings, str]:
    """Decode and check a settings file; the error names the invalid field."""
    try:
        file = msgspec.convert(tomllib.loads(data.decode()), _File, strict=True)
        return Ok(_convert_settings(file))
    except (ValueError, TypeError) as exc:
        # Errors of the TOML syntax, of UTF-8 and of fields are all subclasses of ValueError.
        return Err(f"settings: {exc}")


def _convert_settings(file: _File) -> SidecarSettings:
    bounds = file.bounds
    shares_capacity = not LOAD_CONTRACTS.isdisjoint(_contract_names(file.contracts))
    return SidecarSettings(
        node_id=file.nodeName,
        address=file.ip,
        data_centre=file.zone,
        peer_port=file.internalPortRange[0],
        metrics_port=file.internalPortRange[1],
        callers=parse_endpoint(file.listen.outbound),
        readiness=parse_endpoint(file.listen.ready),
        announcements=parse_endpoint(file.listen.control),
        target=parse_endpoint(file.appAddr) if file.appAddr else None,
        own_service=file.service,
        store=parse_endpoint(file.platform.address),
        link_mbps=file.limits.linkMbps,
        bounds=Bounds(
            grace_s=parse_duration(bounds.grace),
            config_apply_s=parse_duration(bounds.configApply),
            retry_window_s=parse_duration(bounds.budgetWindow),
            retry_ratio=bounds.retryBudgetRatio,
            retry_slack=bounds.retryBudgetSlack,
            unproved_share=bounds.canaryShare,
            unproved_slack=bounds.canarySlack,
            cold_over=bounds.coldOver,
            cold_slack=bounds.coldSlack,
            allowances=AllowanceBounds(
                parse_duration(bounds.quotaWindow), bounds.quotaOver, bounds.quotaSlack
            ),
        ),
        limits_waits=shares_capacity,
        places_by_work=shares_capacity,
    )


def _contract_names(contracts: t.Any) -> list[str]:
    """Return the names of contracts; another form than a list or a table has none."""
    if not isinstance(contracts, list | dict):
        return []
    return [name for name in contracts if isinstance(name, str)]


def parse_endpoint(text: str) -> Endpoint:
    """Parse an address such as ``10.1.0.5:8309``.

    :raises ValueError: if the text is no ``IP:PORT``.
    """
    address = parse_address(text)
    if address is None:
        raise ValueError(f"{text!r} is no IP:PORT")
    return Endpoint(*address)
