"""The configuration state of every node: services, routes, rollouts and verdicts on records."""

import enum
import typing as t

import msgspec
import xxhash
from result import Err
from result import Ok
from result import Result

from bulrushflow.documents import decode_document


class Service(msgspec.Struct, frozen=True):
    """A service and the target version that new calls go to outside of a rollout."""

    name: str
    version: str
    offset: int = 0
    """Offset of the record that last changed it, compared with the ``base`` of records."""


class Route(msgspec.Struct, frozen=True, omit_defaults=True):
    """A path prefix and the service that handles it.

    Defaults are left out of the encoding, so that a field which only a later schema can set does
    not change the digest before that schema is enabled.
    """

    path: str
    service: str
    timeout_ms: int = 2000
    idempotent: bool = False
    """Whether requests of every method on the route are idempotent."""
    offset: int = 0
    idempotent_methods: tuple[str, ...] = ()
    """Further methods whose requests are idempotent, upper case and sorted; from schema 2 on."""

    def is_idempotent(self, method: str) -> bool:
        """Return whether requests of a method may be run again."""
        return self.idempotent or method.upper() in self.idempotent_methods


class RolloutStatus(enum.StrEnum):
    """Recorded status of a rollout; all but ``active`` are final."""

    ACTIVE = "active"
    COMPLETED = "done"
    ROLLED_BACK = "taken back"
    WITHDRAWN = "withdrawn"


class RolloutStep(msgspec.Struct, frozen=True):
    """One recorded step of a rollout."""

    offset: int
    at_ms: int
    share_permille: int
    rule: str
    evidence: str
    node_id: str


class Rollout(msgspec.Struct, frozen=True):
    """An operator's order to bring a service to a version by a deadline, and its recorded steps."""

    move_id: str
    offset: int
    service: str
    from_version: str
    to_version: str
    stated_at_ms: int
    finish_by_ms: int
    operator: str
    status: RolloutStatus = RolloutStatus.ACTIVE
    steps: tuple[RolloutStep, ...] = ()
    finished_at_ms: int = 0
    finished_offset: int = 0
    reason: str = ""
    evidence: str = ""
    decided_by: str = ""


class Verdict(msgspec.Struct, frozen=True):
    """Whether a record was accepted, and the reason if it was rejected."""

    publish_id: str
    offset: int
    operator: str
    accepted: bool
    reason: str = ""
    record_digest: str = ""
    """Digest of the record, by which the publisher recognises the verdict on its own record."""


class SnapshotMark(msgspec.Struct, frozen=True):
    """The newest valid snapshot on the log, or the log's first record while there is none."""

    state_offset: int = -1
    record_offset: int = -1
    appended_at_ms: int = 0
    digest: str = ""


class Configuration(msgspec.Struct, frozen=True):
    """The state after every record up to ``offset``, called a version; never changed in place.

    It is encoded and hashed: all nodes must get the same bytes for the same offset.
    """

    offset: int = -1
    schema_level: int = 1
    services_by_name: dict[str, Service] = {}
    routes_by_path: dict[str, Route] = {}
    moves_by_id: dict[str, Rollout] = {}
    verdicts_by_publish_id: dict[str, Verdict] = {}
    newest_snapshot: SnapshotMark = SnapshotMark()

    def active_rollout(self, service: str) -> Rollout | None:
        """Return the service's rollout that has no final record, if any."""
        for rollout in self.moves_by_id.values():
            if rollout.service == service and rollout.status is RolloutStatus.ACTIVE:
                return rollout
        return None

    def active_rollouts(self) -> list[Rollout]:
        """Return all rollouts that have no final record."""
        return [r for r in self.moves_by_id.values() if r.status is RolloutStatus.ACTIVE]


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode as canonical JSON, so that equal states give equal bytes on every node."""
    return msgspec.json.encode(configuration, order="deterministic")


class _SchemaLevel(msgspec.Struct):
    schema_level: int


def decode_configuration(data: bytes, supported: int) -> Result[Configuration, str]:
    """Decode the result of :func:`encode_configuration`.

    :param supported: highest schema level that is understood; a state above it is an error, since
        its unknown fields would be lost.
    """
    match decode_document(data, _SchemaLevel):
        case Err(reason):
            return Err(reason)
        case Ok(document):
            level = document.schema_level
    if level > supported:
        return Err(f"schema level {level} is above the supported level {supported}")
    return decode_document(data, Configuration).map(_in_offset_order)


def _in_offset_order(configuration: Configuration) -> Configuration:
    """Restore the offset order, in which old entries are dropped; the encoding sorts by key."""
    verdicts = sorted(configuration.verdicts_by_publish_id.items(), key=lambda i: i[1].offset)
    rollouts = sorted(configuration.moves_by_id.items(), key=lambda i: i[1].offset)
    return msgspec.structs.replace(
        configuration, verdicts_by_publish_id=dict(verdicts), moves_by_id=dict(rollouts)
    )


def digest(configuration: Configuration) -> str:
    """Return the digest by which two nodes compare their states."""
    return digest_of_encoded(encode_configuration(configuration))


def digest_of_encoded(data: bytes) -> str:
    """Return the digest of an encoded state."""
    return xxhash.xxh3_128_hexdigest(data)


EMPTY_CONFIGURATION: t.Final = Configuration()
