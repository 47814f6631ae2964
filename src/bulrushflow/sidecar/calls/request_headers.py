"""Which headers of a caller's request are passed on to the target."""

import typing as t

from bulrushflow.sidecar.calls.headers import AUTHORIZATION
from bulrushflow.sidecar.calls.headers import HOP_BY_HOP_HEADERS
from bulrushflow.sidecar.calls.headers import HeaderNames

if t.TYPE_CHECKING:
    from multidict import CIMultiDictProxy


class RequestHeaders:
    """Selects the headers that are passed on."""

    __slots__ = ("_stripped", "_stripped_with_key")

    def __init__(self, names: HeaderNames) -> None:
        self._stripped = HOP_BY_HOP_HEADERS | {
            names.request_id.lower(),
            names.timeout_ms.lower(),
            names.caller_service.lower(),
            names.expected_target.lower(),
        }
        self._stripped_with_key = self._stripped | {
            AUTHORIZATION.lower(),
            names.organisation.lower(),
        }

    def passed_on(self, headers: "CIMultiDictProxy[str]") -> tuple[tuple[str, str], ...]:
        """Return the headers without those of the connection and those for this node."""
        return tuple((k, v) for k, v in headers.items() if k.lower() not in self._stripped)

    def without_key(self, headers: t.Iterable[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
        """Return the headers also without the key and the organisation's name.

        The admitting node sets the organisation's name itself.
        """
        return tuple((k, v) for k, v in headers if k.lower() not in self._stripped_with_key)
