"""Client of the platform's store: topics of keyed records over HTTP."""

import asyncio
import base64
import socket
import struct
import typing as t

import aiohttp
import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.http_responses import BodyLimits
from bulrushflow.http_responses import read_body
from bulrushflow.sidecar.records.storage import KeyedRecord
from bulrushflow.sidecar.records.storage import StoreError
from bulrushflow.sidecar.records.storage import StoreErrorKind
from bulrushflow.sidecar.records.storage import StorePage
from bulrushflow.sidecar.records.storage import StoreWrite
from bulrushflow.sidecar.settings import Endpoint
from bulrushflow.timeouts import SilenceTimeout

CALL_TIMEOUT_S = 1.5
"""Time until the response to a request that doesn't wait for records begins."""
CONNECT_TIMEOUT_S = 1.0
READ_MARGIN_S = 2.0
"""The same for a long-polling read, beyond the time that it waits for records."""
IDLE_TIMEOUT_S = 1.5
"""Time without a byte after which a response that has begun is given up."""
MAX_TRANSFER_S = 20.0
"""Bound on the whole duration of a response, for one that trickles without end."""
MAX_RESPONSE_BYTES = 4 << 20
"""Bound on the size of a response; the store's own bound is 1 MB of records, in base64 at most."""
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
USER_TIMEOUT_MS = 3_000
"""A connection is closed when data stays unacknowledged for so long."""
MISSING_TOPIC_WAIT_S = 1.0
"""Time after which a topic that doesn't exist yet is read again."""
MAX_READ_KB = 260
"""Size of a read's response: a record of the greatest size. What is left of a longer history is
mostly replaced already, so a reader loads the newest records instead."""

_NO_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
_ERA_HEADER = "Store-Era"
MAX_ERA_DIGITS = 18
"""Digits of an era that fits into the 64 bits in which nodes send it."""
_LENGTH = struct.Struct(">I")
_ENDS = struct.Struct(">QQ")


class _Appended(msgspec.Struct):
    offset: int = -1  # offset of the first record
    end: int = -1  # offset of the next record to be appended


class _Item(msgspec.Struct):
    key: str
    value: str  # base64
    offset: int


class _Newest(msgspec.Struct):
    items: list[_Item]
    more: bool  # whether another page follows after the last key
    end: int


class _Response(t.NamedTuple):
    """A complete response of the store."""

    status: int
    body: bytes
    era: int


class PlatformStore:
    """Implements :class:`Store` on the first partition of each topic."""

    def __init__(self, endpoint: Endpoint) -> None:
        self._base = f"http://{endpoint}"
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def newest(self, topic: str) -> Result[StorePage, StoreError]:
        """Return the latest record of each key, and the offset at which to read on.

        The pages together are no consistent snapshot, since records may be appended between them.
        So the offset to read on is the end that the first page reports.
        """
        records: list[KeyedRecord] = []
        end: int | None = None
        era: int | None = None
        after: str | None = None
        while True:
            query = {"topic": topic, "part": "0"}
            if after is not None:
                query["after"] = after
            match await self._call("GET", "/-/log-newest", query, CALL_TIMEOUT_S):
                case Err(error):
                    return Err(error)
                case Ok((status, body, page_era)):
                    pass
            if era is None:
                era = page_era
            if era != page_era:
                return Err(StoreError(StoreErrorKind.UNKNOWN, "the store was restored meanwhile"))
            if status == 404:
                return Ok(StorePage((), 0, 0, era))
            if status != 200:
                return Err(_status_error(status))
            try:
                page = msgspec.json.decode(body, type=_Newest)
                for item in page.items:
                    value = base64.b64decode(item.value)
                    records.append(KeyedRecord(item.key, value, item.offset, era))
            except ValueError as exc:
                return Err(StoreError(StoreErrorKind.UNREADABLE, str(exc)))
            end = page.end if end is None else end
            if not page.more or not page.items:
                return Ok(StorePage(tuple(records), end, end, era))
            after = page.items[-1].key

    async def read(
        self,
        topic: str,
        from_offset: int,
        wait_s: float,
        on_response: t.Callable[[], None] | None = None,
    ) -> Result[StorePage, StoreError]:
        """See :meth:`Store.read`."""
        query = {
            "topic": topic,
            "part": "0",
            "from": str(from_offset),
            "waitMs": str(int(wait_s * 1000)),
            "maxKb": str(MAX_READ_KB),
        }
        timeout_s = wait_s + READ_MARGIN_S
        match await self._call("GET", "/-/log-read", query, timeout_s, on_response=on_response):
            case Err(error):
                return Err(error)
            case Ok((200, body, era)):
                return _decode_records(body, from_offset, era)
            case Ok((410, _, _)):
                return Err(
                    StoreError(StoreErrorKind.TRIMMED, f"offset {from_offset} is no longer kept")
                )
            case Ok((404, _, era)):
                # The topic doesn't exist before its first record, so the wait happens here.
                await asyncio.sleep(min(wait_s, MISSING_TOPIC_WAIT_S))
                return Ok(StorePage((), from_offset, from_offset, era))
            case Ok((status, _, _)):
                return Err(_status_error(status))

    async def append(
        self, topic: str, writes: t.Sequence[StoreWrite], expected_end: int | None = None
    ) -> Result[int, StoreError]:
        """Append all records atomically and return the offset of the first one.

        :param expected_end: if given, append only if the partition ends at this offset.
        """
        query = {"topic": topic, "part": "0"}
        if expected_end is not None:
            query["asOf"] = str(expected_end)
        body = b"".join(_encode_record(write) for write in writes)
        match await self._call("POST", "/-/log-append", query, CALL_TIMEOUT_S, body):
            case Err(error):
                return Err(error)
            case Ok((200, response, _)):
                pass
            case Ok((412, _, _)):
                return Err(
                    StoreError(
                        StoreErrorKind.CONFLICT, f"the topic does not end at offset {expected_end}"
                    )
                )
            case Ok((status, _, _)):
                return Err(_status_error(status))
        try:
            return Ok(msgspec.json.decode(response, type=_Appended).offset)
        except msgspec.MsgspecError as exc:
            return Err(StoreError(StoreErrorKind.UNKNOWN, str(exc)))

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        timeout_s: float,
        body: bytes = b"",
        on_response: t.Callable[[], None] | None = None,
    ) -> Result[_Response, StoreError]:
        session = self._session
        if session is None:
            session = self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(socket_factory=_create_socket, limit=0),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        try:
            async with (
                asyncio.timeout(timeout_s) as until_response,
                session.request(
                    method, self._base + path, params=query, data=body or None, timeout=_NO_TIMEOUT
                ) as response,
            ):
                if on_response is not None and response.status == 200:
                    on_response()
                body = await _read_body(response, until_response)
                return Ok(_Response(response.status, body, _read_era(response)))
        except aiohttp.ClientConnectorError as exc:
            return Err(StoreError(StoreErrorKind.REFUSED, f"no connection: {exc}"))
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            return Err(StoreError(StoreErrorKind.UNKNOWN, f"{type(exc).__name__}: {exc}"))


async def _read_body(response: aiohttp.ClientResponse, until_response: asyncio.Timeout) -> bytes:
    until_response.reschedule(None)
    limits = BodyLimits(IDLE_TIMEOUT_S, MAX_TRANSFER_S, MAX_RESPONSE_BYTES)
    async with SilenceTimeout(IDLE_TIMEOUT_S) as timeout:
        return await read_body(response, timeout, limits)


def _read_era(response: aiohttp.ClientResponse) -> int:
    """Return the era that a response names; 0 if it names none that can be read."""
    text = response.headers.get(_ERA_HEADER, "")
    readable = text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS
    return int(text) if readable else 0


def _create_socket(address_info: t.Any) -> socket.socket:
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return sock


def _status_error(status: int) -> StoreError:
    if status in {429, 503}:
        return StoreError(StoreErrorKind.REFUSED, f"the store responded with status {status}")
    return StoreError(StoreErrorKind.UNKNOWN, f"the store responded with status {status}")


def _encode_record(write: StoreWrite) -> bytes:
    key = write.key.encode()
    body = bytes([len(key)]) + key + write.value
    return _LENGTH.pack(len(body)) + body


def _decode_records(data: bytes, from_offset: int, era: int) -> Result[StorePage, StoreError]:
    if len(data) < _ENDS.size:
        return Err(
            StoreError(
                StoreErrorKind.UNREADABLE,
                f"response of {len(data)} bytes is shorter than its header",
            )
        )
    end, _ = _ENDS.unpack_from(data)
    records: list[KeyedRecord] = []
    start = _ENDS.size
    offset = from_offset
    while start + _LENGTH.size <= len(data):
        (length,) = _LENGTH.unpack_from(data, start)
        start += _LENGTH.size
        body = data[start : start + length]
        if len(body) < length:
            break
        start += length
        records.append(_decode_record(body, offset, era))
        offset += 1
    return Ok(StorePage(tuple(records), offset, max(end, offset), era))


def _decode_record(body: bytes, offset: int, era: int) -> KeyedRecord:
    size = body[0] if body else 0
    key = body[1 : 1 + size].decode(errors="replace")
    return KeyedRecord(key, body[1 + size :], offset, era)
