"""HTTP client for the node's own target."""

import asyncio

import aiohttp
import yarl

from bulrushflow.headers import CONNECTION_HEADERS
from bulrushflow.routing import FINAL_STATUSES
from bulrushflow.routing import ByteBudget
from bulrushflow.routing import Call
from bulrushflow.routing import CallResult
from bulrushflow.routing import Response
from bulrushflow.routing import answer_lost
from bulrushflow.routing import not_run
from bulrushflow.routing import unknown
from bulrushflow.targets.announcement import Announcement
from bulrushflow.targets.connection import ResponseLimitError
from bulrushflow.targets.connection import TargetConnector

HOP_BY_HOP_HEADERS = CONNECTION_HEADERS | {"host"}
REQUEST_ID_HEADER = "x-request-id"
TENANT_HEADER = "x-tenant"
TIMEOUT_HEADER = "x-timeout-ms"
ATTEMPT_HEADER = "x-attempt"
"""Number of earlier attempts of this call or of the call that led to it; absent for none."""
OUTCOME_HEADER = "x-outcome"
NOT_RUN_VALUE = "not-run"
KEEPALIVE_TIMEOUT_S = 4.0
"""Idle time after which a connection is not reused.

It is shorter than the keep-alive timeout of common servers: if the target closes a connection just
as it is reused, a call that is not idempotent is left with an unknown outcome.
"""

_SHED_STATUSES = frozenset({429, 503})
_DROPPED_RESPONSE_HEADERS = HOP_BY_HOP_HEADERS | {OUTCOME_HEADER}
_NO_TIMEOUT = aiohttp.ClientTimeout(total=None)


class TargetClient:
    """The connections to one target.

    A connection whose call timed out or was cancelled is not reused.

    :param byte_budget: bounds the bytes of buffered responses.
    :param max_response_bytes: bound on the body of one response.
    """

    def __init__(
        self, announcement: Announcement, byte_budget: ByteBudget, max_response_bytes: int
    ) -> None:
        self.unreachable = False
        """Whether the last attempt to connect failed and no response arrived since."""
        self._url = announcement.url
        self._byte_budget = byte_budget
        self._max_response_bytes = max_response_bytes
        connector = TargetConnector(
            limit=announcement.connections, keepalive_timeout=KEEPALIVE_TIMEOUT_S
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=_NO_TIMEOUT,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def send(self, call: Call) -> CallResult:
        """Send a call to the target and return its result by the call's deadline.

        Cancellation closes the call's connection, by which the target can notice it.
        """
        remaining_s = call.deadline - asyncio.get_running_loop().time()
        if remaining_s <= 0:
            return not_run("the call's deadline passed before it was sent to the target")
        try:
            async with (
                asyncio.timeout_at(call.deadline),
                self._session.request(
                    call.method,
                    yarl.URL(self._url + call.path, encoded=True),
                    headers=_headers(call, remaining_s),
                    data=call.body or None,
                    allow_redirects=False,
                ) as response,
            ):
                self.unreachable = False
                return await self._read(response)
        except aiohttp.ClientConnectorError as exc:
            self.unreachable = True
            return not_run(f"no connection to the target: {exc}")
        except TimeoutError:
            return unknown(f"the target did not answer in time (within {remaining_s:.3f} s)")
        except (aiohttp.ClientError, OSError) as exc:
            return unknown(f"the target's connection failed: {_describe(exc)}")

    async def _read(self, response: aiohttp.ClientResponse) -> CallResult:
        if response.status not in FINAL_STATUSES:
            response.close()
            return unknown(f"no HTTP answer: its status is {response.status:03}")
        if (
            response.status in _SHED_STATUSES
            and response.headers.get(OUTCOME_HEADER) == NOT_RUN_VALUE
        ):
            response.release()
            return not_run(f"the target shed the call with status {response.status}")
        expected = response.content_length
        reserved = self._max_response_bytes if expected is None else expected
        if reserved > self._max_response_bytes:
            response.close()
            return answer_lost(
                f"the response is too large: {reserved} bytes, "
                f"at most {self._max_response_bytes} are accepted"
            )
        if not self._byte_budget.reserve(reserved):
            response.close()
            return answer_lost(
                f"no buffer space at this node for a response of up to {reserved} bytes: "
                f"{self._byte_budget.used_bytes} bytes are in use"
            )
        try:
            body = await self._read_body(response, expected)
        finally:
            self._byte_budget.release(reserved)
        if body is None:
            response.close()
            return answer_lost(
                f"the response is too large: at most {self._max_response_bytes} bytes are accepted"
            )
        headers = tuple(
            (k, v)
            for k, v in response.headers.items()
            if k.lower() not in _DROPPED_RESPONSE_HEADERS
        )
        return Response(response.status, headers, body).as_result()

    async def _read_body(
        self, response: aiohttp.ClientResponse, expected: int | None
    ) -> bytes | None:
        if expected is not None:
            return await response.read()
        chunks = bytearray()
        async for chunk in response.content.iter_any():
            chunks += chunk
            if len(chunks) > self._max_response_bytes:
                return None
        return bytes(chunks)


def _headers(call: Call, remaining_s: float) -> list[tuple[str, str]]:
    headers = [
        *call.headers,
        (REQUEST_ID_HEADER, call.request_id),
        (TENANT_HEADER, call.tenant),
        (TIMEOUT_HEADER, str(max(1, int(remaining_s * 1000)))),
    ]
    if call.attempt:
        headers.append((ATTEMPT_HEADER, str(call.attempt)))
    return headers


def _describe(error: Exception) -> str:
    """Return the limit that a response exceeded, or the class of another error."""
    if isinstance(error, ResponseLimitError):
        return f"no HTTP answer: {error}"
    return type(error).__name__
