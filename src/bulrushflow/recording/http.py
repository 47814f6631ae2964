"""Client of the platform's log over HTTP."""

import base64
import typing as t

import aiohttp
import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.configuration import LogRecord
from bulrushflow.http_responses import BodyLimits
from bulrushflow.http_responses import read_body
from bulrushflow.recording.log import LogError
from bulrushflow.recording.log import LogErrorKind
from bulrushflow.recording.log import LogPage
from bulrushflow.timeouts import SilenceTimeout

MAX_TRANSFER_S = 60.0
"""Bound on the duration of a response: 37 MB at 5 Mbit/s."""
MAX_RESPONSE_BYTES = 64 << 20
"""Bound on the memory for a response. The log decides how many records a page has."""

_NO_TIMEOUT = aiohttp.ClientTimeout(total=None)


class HttpLog:
    """Implements :class:`~bulrushflow.recording.log.Log` over HTTP.

    :param timeout_s: seconds until a response begins, and between its bytes; a read that waits gets
        its waiting time on top.
    """

    __slots__ = ("_session", "_timeout_s", "_url")

    def __init__(self, url: str, timeout_s: float) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the session and its connections."""
        if self._session is not None:
            await self._session.close()

    async def append(self, stream: str, body: bytes) -> Result[int, LogError]:
        """See :meth:`Log.append`."""
        response = await self._request("POST", f"/streams/{stream}", data=body)
        return response.and_then(_offset)

    async def read(
        self, stream: str, from_offset: int, wait_s: float = 0.0
    ) -> Result[LogPage, LogError]:
        """See :meth:`Log.read`."""
        params = {"from": str(from_offset), "wait_ms": str(int(wait_s * 1000))}
        response = await self._request(
            "GET", f"/streams/{stream}", params=params, extra_timeout_s=wait_s
        )
        return response.and_then(_page)

    async def tail(self, stream: str, count: int) -> Result[LogPage, LogError]:
        """See :meth:`Log.tail`."""
        response = await self._request("GET", f"/streams/{stream}", params={"tail": str(count)})
        return response.and_then(_page)

    async def _request(
        self, method: str, path: str, extra_timeout_s: float = 0.0, **options: t.Any
    ) -> Result[dict[str, t.Any], LogError]:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        limits = BodyLimits(self._timeout_s, MAX_TRANSFER_S, MAX_RESPONSE_BYTES)
        try:
            async with (
                SilenceTimeout(self._timeout_s + extra_timeout_s) as timeout,
                self._session.request(
                    method, self._url + path, timeout=_NO_TIMEOUT, **options
                ) as response,
            ):
                return _decode(response.status, await read_body(response, timeout, limits))
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            return Err(LogError(LogErrorKind.UNAVAILABLE, f"{type(exc).__name__}: {exc}"))


def _decode(status: int, body: bytes) -> Result[dict[str, t.Any], LogError]:
    try:
        raw = msgspec.json.decode(body, type=dict[str, t.Any])
    except msgspec.DecodeError as exc:
        return Err(
            LogError(LogErrorKind.UNAVAILABLE, f"status {status}, body is not a JSON object: {exc}")
        )
    if status == 200:
        return Ok(raw)
    message = str(raw.get("error", f"status {status}"))
    if status == 410:
        return Err(LogError(LogErrorKind.TRIMMED, message, int(raw.get("first_offset", 0))))
    if status == 429:
        return Err(LogError(LogErrorKind.LIMITED, message))
    if 400 <= status < 500:
        return Err(LogError(LogErrorKind.REJECTED, message))
    return Err(LogError(LogErrorKind.UNAVAILABLE, message))


def _offset(raw: dict[str, t.Any]) -> Result[int, LogError]:
    try:
        return Ok(int(raw["offset"]))
    except (KeyError, TypeError, ValueError) as exc:
        return Err(LogError(LogErrorKind.UNAVAILABLE, f"malformed response to an append: {exc!r}"))


def _page(raw: dict[str, t.Any]) -> Result[LogPage, LogError]:
    try:
        records = tuple(
            LogRecord(
                int(r["offset"]),
                int(r["appended_at_ms"]),
                base64.b64decode(r["body"], validate=True),
            )
            for r in raw["records"]
        )
        return Ok(LogPage(records, int(raw["next_offset"])))
    except (KeyError, TypeError, ValueError) as exc:
        return Err(LogError(LogErrorKind.UNAVAILABLE, f"malformed page: {exc!r}"))
