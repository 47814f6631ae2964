"""API keys of organisations: their digests, and the look-up of a request's organisation.

The load is one look-up for each request, and a configuration of some 77 organisations that may be
replaced five times a second. Keys are secrets: only their digests are kept, and no error has a key
or a digest.
"""

import enum
import hashlib
import typing as t

import msgspec
from result import Err
from result import Ok
from result import Result

KEY_DIGEST_BYTES = 32
_SCHEME = "bearer"


class KeyRefusal(enum.StrEnum):
    """Why a request has no organisation although it needs one; a value of a metrics label."""

    MISSING = "no key"
    UNKNOWN = "unknown key"


class Organisation(msgspec.Struct, frozen=True):
    """A customer that holds keys."""

    name: str
    priority: int | None = None
    """Takes precedence over the route's priority; ``None`` leaves the route's."""
    rate_per_s: float = 0.0
    """Requests per second allowed over all nodes; 0 means no limit."""
    burst: float = 0.0
    """Requests allowed beyond the rate at once."""


class Organisations(msgspec.Struct, frozen=True):
    """The organisations of one configuration; immutable, replaced as a whole."""

    by_name: t.Mapping[str, Organisation]
    by_key_digest: t.Mapping[bytes, Organisation]

    def identify(
        self, authorizations: t.Sequence[str], allow_anonymous: bool
    ) -> Result[Organisation | None, KeyRefusal]:
        """Return the organisation of a request; ``None`` for a request without a key.

        A key that isn't known is refused on every route, so that a request whose key was never
        valid runs nowhere.

        :param authorizations: the request's ``Authorization`` headers.
        :param allow_anonymous: whether the request's route accepts requests without a key.
        """
        if not authorizations:
            return Ok(None) if allow_anonymous else Err(KeyRefusal.MISSING)
        key = _parse_key(authorizations[0]) if len(authorizations) == 1 else None
        organisation = self.by_key_digest.get(key_digest(key)) if key else None
        return Err(KeyRefusal.UNKNOWN) if organisation is None else Ok(organisation)


def key_digest(key: str) -> bytes:
    """Return the digest of a key."""
    data = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=KEY_DIGEST_BYTES).digest()


def build_organisations(
    keys_by_organisation: t.Iterable[tuple[Organisation, t.Iterable[str]]],
) -> Result[Organisations, str]:
    """Return the organisations with the digests of their keys.

    The error names organisations that share a name or a key, never a key.
    """
    by_name: dict[str, Organisation] = {}
    by_key_digest: dict[bytes, Organisation] = {}
    for organisation, keys in keys_by_organisation:
        if organisation.name in by_name:
            return Err(f"organisation {organisation.name!r} is defined twice")
        by_name[organisation.name] = organisation
        for key in keys:
            other = by_key_digest.setdefault(key_digest(key), organisation)
            if other is not organisation:
                return Err(f"{other.name!r} and {organisation.name!r} have a key in common")
    return Ok(Organisations(by_name, by_key_digest))


def _parse_key(authorization: str) -> str | None:
    """Return the key of an ``Authorization`` header, or ``None`` if it has none."""
    scheme, _, key = authorization.strip().partition(" ")
    return key.strip() if scheme.lower() == _SCHEME else None
