"""Decoding of the configuration's organisations, which the platform names tenants."""

import hashlib
import typing as t

import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.organisations import Organisation
from bulrushflow.organisations import Organisations
from bulrushflow.organisations import build_organisations

_Name = t.Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
_Rate = t.Annotated[float, msgspec.Meta(ge=0, le=1e9)]
_Priority = t.Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
_ABSENT_DOCUMENTS = (b"", b"null")


class _Tenant(msgspec.Struct):
    name: _Name
    apiKeys: list[str] = []  # noqa: N815
    priority: _Priority | None = None
    ratePerS: _Rate | None = None  # noqa: N815
    burst: _Rate | None = None


class OrganisationsDecoder:
    """Decodes the organisations, and reuses them while their document stays the same.

    A configuration may change five times a second, its organisations rarely. Of the last document
    only a digest is kept, since it contains the keys.
    """

    __slots__ = ("_digest", "_organisations")

    def __init__(self) -> None:
        self._digest = b""
        self._organisations: Organisations | None = None

    def decode(self, document: bytes) -> Result[Organisations | None, str]:
        """Decode the list of organisations; ``None`` if the configuration has no such list.

        :raises msgspec.MsgspecError: if the document is invalid; its text has no values.
        """
        if document in _ABSENT_DOCUMENTS:
            return Ok(None)
        digest = hashlib.blake2b(document).digest()
        if digest != self._digest:
            match _decode(document):
                case Err(reason):
                    return Err(reason)
                case Ok(organisations):
                    self._organisations = organisations
                    self._digest = digest
        return Ok(self._organisations)


def _decode(document: bytes) -> Result[Organisations, str]:
    tenants = msgspec.json.decode(document, type=list[_Tenant])
    for tenant in tenants:
        if not tenant.name.isprintable() or tenant.name != tenant.name.strip():
            return Err(f"organisation {tenant.name!r}: the name is no value of a header")
    return build_organisations(
        (
            Organisation(tenant.name, tenant.priority, tenant.ratePerS or 0.0, tenant.burst or 0.0),
            tenant.apiKeys,
        )
        for tenant in tenants
    )
