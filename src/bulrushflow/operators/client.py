"""Client of the command line for the log and for nodes' operator endpoints."""

import asyncio
import random
import time
import typing as t
import uuid

import aiohttp
import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.configuration import SUPPORTED_SCHEMA
from bulrushflow.configuration import Configuration
from bulrushflow.configuration import Record
from bulrushflow.configuration import Verdict
from bulrushflow.configuration import decode_configuration
from bulrushflow.configuration import encode_record
from bulrushflow.configuration import record_digest
from bulrushflow.http_responses import BodyLimits
from bulrushflow.http_responses import read_body
from bulrushflow.operators.reports import Convergence
from bulrushflow.recording import CONFIGURATION_STREAM
from bulrushflow.recording import HttpLog
from bulrushflow.recording import LogErrorKind
from bulrushflow.timeouts import SilenceTimeout

APPEND_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
POLL_S = 0.1
REQUEST_TIMEOUT_S = 5.0
"""Time until a response begins, and between its bytes."""
MAX_TRANSFER_S = 60.0
"""Bound on the duration of a response: 37 MB at 5 Mbit/s."""
MAX_RESPONSE_BYTES = 64 << 20
"""Bound on the memory for a response; a configuration is the longest one."""
OK_STATUS = 200

T = t.TypeVar("T")


class _NodeResponse(msgspec.Struct, frozen=True):
    url: str
    status: int
    body: bytes


class _CurrentVersion(msgspec.Struct, frozen=True):
    offset: int


def new_publish_id() -> str:
    """Return a random id; appends of one record under the same id take effect once."""
    return uuid.uuid4().hex[:16]


class OperatorClient:
    """Publishes records to the log, and queries nodes for the results.

    :param node_urls: operator URLs of nodes, separated by commas; the first that responds is used.
    :param timeout_s: seconds from construction after which publishes and waits time out.
    """

    def __init__(self, log_url: str, node_urls: str, timeout_s: float) -> None:
        self.log = HttpLog(log_url, REQUEST_TIMEOUT_S)
        self._node_urls = [url.strip().rstrip("/") for url in node_urls.split(",")]
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=None))
        self._rng = random.Random()
        self._deadline = time.monotonic() + timeout_s

    async def __aenter__(self) -> "OperatorClient":
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._session.close()
        await self.log.close()

    async def publish(self, record: Record) -> Result[Verdict, str]:
        """Append a record, with retries after lost responses, and wait for its verdict."""
        backoff_s = APPEND_BACKOFF_S
        while True:
            if record.made_at is None:
                # Set once and kept for all retries: with a later version, a duplicate that is
                # appended after the verdict was dropped would count as a new record.
                record = msgspec.structs.replace(record, made_at=await self._newest_version())
            match await self.log.append(CONFIGURATION_STREAM, encode_record(record)):
                case Ok(_):
                    return await self._verdict(record)
                case Err(error):
                    pass
            if error.kind is LogErrorKind.REJECTED:
                return Err(f"the log rejected the record: {error.message}")
            if time.monotonic() + backoff_s >= self._deadline:
                return Err(
                    f"the log did not confirm the record: {error.message}; {_retry_advice(record)}"
                )
            await asyncio.sleep(self._rng.uniform(0, backoff_s))
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    async def wait_in_force(self, offset: int) -> Result[Convergence, str]:
        """Wait until a version is in force on every member in the node's member table."""
        while True:
            match await self.get(f"/convergence?offset={offset}", Convergence):
                case Ok(convergence) if not convergence.behind and not convergence.silent:
                    return Ok(convergence)
                case Ok(convergence):
                    last_result = f"behind: {convergence.behind}, silent: {convergence.silent}"
                case Err(reason):
                    last_result = reason
            if time.monotonic() >= self._deadline:
                return Err(
                    f"version {offset} was accepted, but is not known to be in force on every "
                    f"node: {last_result}"
                )
            await asyncio.sleep(POLL_S)

    async def get(
        self, path: str, kind: type[T], headers: t.Mapping[str, str] | None = None
    ) -> Result[T, str]:
        """Return a node's decoded response; the error is the node's or that of the connection."""
        result = await self.get_bytes(path, headers)
        return result.and_then(lambda body: _decode(body, kind))

    async def configuration(self) -> Result[Configuration, str]:
        """Return the configuration in force on a node."""
        result = await self.get_bytes("/configuration")
        return result.and_then(_decode_configuration)

    async def get_bytes(
        self, path: str, headers: t.Mapping[str, str] | None = None
    ) -> Result[bytes, str]:
        """Return the body from the first node that responds, an error for a status other than 200.

        Nodes that can't be reached are skipped.
        """
        reasons = []
        for url in self._node_urls:
            result = await self._request(url, path, headers)
            if result.is_ok():
                return result.and_then(_body)
            reasons.append(result.unwrap_err())
        return Err("; ".join(reasons))

    async def get_from_each_node(self, path: str, kind: type[T]) -> list[Result[T, str]]:
        """Return the decoded responses of all given nodes, in their order."""
        results = []
        for url in self._node_urls:
            result = await self._request(url, path)
            results.append(result.and_then(_body).and_then(lambda body: _decode(body, kind)))
        return results

    async def _request(
        self, url: str, path: str, headers: t.Mapping[str, str] | None = None
    ) -> Result[_NodeResponse, str]:
        """Return one node's response, whatever its status."""
        limits = BodyLimits(REQUEST_TIMEOUT_S, MAX_TRANSFER_S, MAX_RESPONSE_BYTES)
        try:
            async with (
                SilenceTimeout(REQUEST_TIMEOUT_S) as timeout,
                self._session.get(url + path, headers=headers) as response,
            ):
                body = await read_body(response, timeout, limits)
                return Ok(_NodeResponse(url, response.status, body))
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            return Err(f"the node at {url} could not be asked: {exc!r}")

    async def _newest_version(self) -> int | None:
        """Return a node's current version, else the log's newest offset; ``None`` without both."""
        match await self.get("/status", _CurrentVersion):
            case Ok(status):
                return status.offset
            case Err(_):
                pass
        match await self.log.tail(CONFIGURATION_STREAM, 1):
            case Ok(page):
                return page.next_offset - 1
            case Err(_):
                return None

    async def _verdict(self, record: Record) -> Result[Verdict, str]:
        while True:
            match await self.get(f"/verdicts/{record.publish_id}", Verdict):
                case Ok(verdict):
                    return _check_verdict(verdict, record)
                case Err(reason):
                    pass
            if time.monotonic() >= self._deadline:
                return Err(
                    "the log has the record, but no node returned its verdict: "
                    f"{reason}; {_retry_advice(record)}"
                )
            await asyncio.sleep(POLL_S)


def _check_verdict(verdict: Verdict, record: Record) -> Result[Verdict, str]:
    """Return the verdict; an error when it is on another record under the same publish id.

    A verdict without a digest is accepted.
    """
    if verdict.record_digest in ("", record_digest(record)):
        return Ok(verdict)
    return Err(
        f"publish id {verdict.publish_id} was used for another record, at offset {verdict.offset} "
        f"by {verdict.operator}; this one has no effect"
    )


def _retry_advice(record: Record) -> str:
    made_at = "" if record.made_at is None else f" --made-at {record.made_at}"
    return (
        "it may take effect all the same; repeat the same command with "
        f"--publish-id {record.publish_id}{made_at} and it counts once"
    )


def _body(response: _NodeResponse) -> Result[bytes, str]:
    if response.status == OK_STATUS:
        return Ok(response.body)
    text = _error_text(response.body)
    return Err(f"the node at {response.url} answered {response.status}: {text}")


def _decode(body: bytes, kind: type[T]) -> Result[T, str]:
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except msgspec.DecodeError as exc:
        return Err(f"the node's response can't be decoded: {exc}")


def _decode_configuration(body: bytes) -> Result[Configuration, str]:
    decoded = decode_configuration(body, SUPPORTED_SCHEMA)
    return decoded.map_err(lambda error: f"the node's configuration can't be decoded: {error}")


def _error_text(body: bytes) -> str:
    try:
        return str(msgspec.json.decode(body, type=dict[str, t.Any])["error"])
    except (msgspec.DecodeError, KeyError):
        return body.decode(errors="replace")
