"""A node's settings: their definition, and checks of a JSON-with-comments file."""

import ipaddress
import pathlib
import types
import typing as t
import urllib.parse
from collections import Counter

import json5
import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.addresses import parse_address

NODE_VARIABLES: t.Final = {
    "node_id": "BULRUSHFLOW_NODE_ID",
    "address": "BULRUSHFLOW_ADDRESS",
    "data_centre": "BULRUSHFLOW_DATA_CENTRE",
}
"""Environment variables that override settings, by the setting's key."""

Port = t.Annotated[int, msgspec.Meta(ge=0, le=65535)]
Seconds = t.Annotated[float, msgspec.Meta(gt=0)]
Name = t.Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")]


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Access to the platform's append-only log."""

    url: str
    """URL of the log, with its port."""
    request_timeout_s: Seconds = 5.0
    """Seconds until a response of the log begins, and between its bytes, that count as failure."""
    long_poll_s: Seconds = 10.0
    """Seconds that a read may wait at the log for the next record."""
    append_rate_per_s: Seconds = 2.0
    """Highest rate of this node's appends of the system's own records, per second."""
    snapshot_every_records: t.Annotated[int, msgspec.Meta(ge=2)] = 1024
    """Records after which a snapshot is due; well below the number that the log retains."""
    snapshot_every_s: Seconds = 3600.0
    """Seconds after which a snapshot is due; well below the log's retention time."""


class GossipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timing of failure detection; all values in seconds."""

    period_s: Seconds = 0.5
    """Time between two probes sent by this node."""
    ack_timeout_s: Seconds = 0.2
    """Time to wait for the acknowledgement of a probe."""
    suspicion_s: Seconds = 3.0
    """Time in which a suspected member can refute the suspicion before it counts as dead."""


class CallSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on calls accepted by this node."""

    max_body_bytes: t.Annotated[int, msgspec.Meta(ge=0, le=8 << 20)] = 1 << 20
    """Bound on the body of one request or response, which has to fit into a frame between nodes."""
    max_buffered_bytes: t.Annotated[int, msgspec.Meta(ge=0)] = 32 << 20
    """Bound on all bodies buffered at once."""
    max_in_flight: t.Annotated[int, msgspec.Meta(ge=1)] = 512
    """Bound on callers' calls in flight; further ones are refused as not run."""
    max_tenant_labels: t.Annotated[int, msgspec.Meta(ge=1)] = 50
    """Tenants with a label value of their own in metrics; later ones share one value."""
    drain_s: Seconds = 10.0
    """Seconds that a stopping node waits for calls in flight."""


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Level and format of the process's logs."""

    level: t.Literal["TRACE", "DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    """Lowest level that is written."""
    format: t.Literal["text", "json"] = "text"
    """Human-readable lines, or one JSON object per line."""


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one node."""

    node_id: Name
    """Unique among all nodes; a replaced instance needs a new one."""
    data_centre: Name
    """Data centre of the instance."""
    address: str
    """IP address at which other nodes reach this one."""
    caller_port: Port
    """TCP port for callers; 0 lets the system choose a free one, also for the ports below."""
    peer_port: Port
    """TCP and UDP port for other nodes."""
    target_port: Port
    """TCP port where the target on this instance announces itself."""
    operator_port: Port
    """TCP port for operators and for metrics."""
    platform: PlatformSettings
    seeds: tuple[str, ...] = ()
    """IP:PORT of nodes to contact while the log can't be read."""
    gossip: GossipSettings = GossipSettings()
    calls: CallSettings = CallSettings()
    log: LogSettings = LogSettings()


class SettingsFault(msgspec.Struct, frozen=True):
    """An invalid setting and its place in the file, such as ``$.platform.url``."""

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


SettingsResult = Result[Settings, list[SettingsFault]]


def load_settings(path: pathlib.Path, overrides: dict[str, t.Any] | None = None) -> SettingsResult:
    """Read and check a settings file; the error lists all invalid settings.

    :param overrides: top-level values that override those of the file; ``None`` is ignored.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Err([SettingsFault(str(path), f"cannot be read: {exc}")])
    return parse_settings(text, overrides)


def parse_settings(text: str, overrides: dict[str, t.Any] | None = None) -> SettingsResult:
    """Parse and check JSON-with-comments text; see :func:`load_settings`."""
    try:
        raw = json5.loads(text, allow_duplicate_keys=False)
    except ValueError as exc:
        return Err([SettingsFault("$", f"not JSON with comments: {exc}")])
    if isinstance(raw, dict) and overrides:
        raw = {**raw, **{key: value for key, value in overrides.items() if value is not None}}
    faults = _field_faults(Settings, raw, "$")
    if faults:
        return Err(faults)
    settings = msgspec.convert(raw, Settings)
    faults = _address_faults(settings) + _duration_faults(settings.gossip)
    return Err(faults) if faults else Ok(settings)


def _field_faults(kind: t.Any, raw: t.Any, place: str) -> list[SettingsFault]:
    """Return the faults of all fields; the library itself stops at the first."""
    if not isinstance(raw, dict):
        return [SettingsFault(place, f"expected an object, got {type(raw).__name__}")]
    faults = []
    fields_by_name = {field.name: field for field in msgspec.structs.fields(kind)}
    for name in raw:
        if name not in fields_by_name:
            faults.append(SettingsFault(f"{place}.{name}", "unknown key"))
    for name, field in fields_by_name.items():
        field_place = f"{place}.{name}"
        if name not in raw:
            if field.required:
                faults.append(SettingsFault(field_place, "missing"))
            continue
        if _is_struct(field.type):
            faults.extend(_field_faults(field.type, raw[name], field_place))
            continue
        try:
            msgspec.convert(raw[name], field.type)
        except msgspec.ValidationError as exc:
            faults.append(SettingsFault(field_place, str(exc)))
    return faults


def _is_struct(kind: t.Any) -> bool:
    # isinstance(tuple[str, ...], type) is true, but issubclass raises TypeError for it.
    is_class = isinstance(kind, type) and not isinstance(kind, types.GenericAlias)
    return is_class and issubclass(kind, msgspec.Struct)


def _address_faults(settings: Settings) -> list[SettingsFault]:
    faults = []
    try:
        address = ipaddress.ip_address(settings.address)
    except ValueError:
        faults.append(SettingsFault("$.address", f"{settings.address!r} is not an IP address"))
    else:
        if address.is_unspecified or address.is_multicast:
            faults.append(
                SettingsFault("$.address", f"must be one that other nodes can reach, got {address}")
            )
    ports_by_name = {
        name: getattr(settings, name)
        for name in ("caller_port", "peer_port", "target_port", "operator_port")
    }
    counts = Counter(port for port in ports_by_name.values() if port != 0)
    for name, port in ports_by_name.items():
        if counts[port] > 1:
            faults.append(SettingsFault(f"$.{name}", f"duplicate address: port {port}"))
    for i, seed in enumerate(settings.seeds):
        endpoint = parse_address(seed)
        if endpoint is None:
            faults.append(SettingsFault(f"$.seeds[{i}]", f"{seed!r} is not IP:PORT"))
        elif endpoint == (settings.address, settings.peer_port):
            faults.append(SettingsFault(f"$.seeds[{i}]", f"is this node's own address {seed}"))
    if len(set(settings.seeds)) != len(settings.seeds):
        faults.append(SettingsFault("$.seeds", "duplicate address"))
    if not settings.platform.url.startswith(("http://", "https://")):
        faults.append(SettingsFault("$.platform.url", "must start with http:// or https://"))
    elif not _has_host(settings.platform.url):
        faults.append(SettingsFault("$.platform.url", "names no host, or a port out of range"))
    return faults


def _has_host(url: str) -> bool:
    try:
        parts = urllib.parse.urlsplit(url)
        return bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False


def _duration_faults(gossip: GossipSettings) -> list[SettingsFault]:
    """Check that a suspected member has time to refute.

    If ``suspicion_s`` does not exceed the duration of a probe, a single lost packet can make a
    live member count as dead.
    """
    probe_s = gossip.period_s + gossip.ack_timeout_s
    if gossip.suspicion_s > probe_s:
        return []
    return [
        SettingsFault(
            "$.gossip.suspicion_s",
            f"must be more than period_s and ack_timeout_s together, which is {probe_s:g} s, "
            f"got {gossip.suspicion_s:g} s",
        )
    ]
