"""Writing of a response to its caller while its body is still arriving."""

import asyncio
import typing as t

from aiohttp import web
from msgspec.structs import replace
from result import Err
from result import Ok

from bulrushflow.routing import BodyStream
from bulrushflow.routing import CallResult
from bulrushflow.routing import Response
from bulrushflow.routing import answer_lost


class WaitTime:
    """Adds up the time that is spent in its blocks."""

    __slots__ = ("_entered_at", "seconds")

    def __init__(self) -> None:
        self.seconds = 0.0
        self._entered_at = 0.0

    def __enter__(self) -> None:
        self._entered_at = asyncio.get_running_loop().time()

    def __exit__(self, *exc_info: object) -> None:
        self.seconds += asyncio.get_running_loop().time() - self._entered_at


class StreamProgress:
    """How much of a response was passed on, and for what its sender and its caller were awaited.

    :param total: length of the response's body, in bytes.
    """

    __slots__ = ("caller_wait", "sender_wait", "sent", "total")

    def __init__(self, total: int) -> None:
        self.total = total
        self.sent = 0
        """Bytes that the caller's connection took."""
        self.sender_wait = WaitTime()
        self.caller_wait = WaitTime()

    def broken_off(self, reason: str) -> CallResult:
        """Return the result of a call whose response ends here."""
        return answer_lost(
            f"response broken off after {self.sent} of {self.total} bytes: {reason}; waited "
            f"{self.sender_wait.seconds:.2f} s for its sender and "
            f"{self.caller_wait.seconds:.2f} s for the caller"
        )


async def read_whole(
    target_response: Response, deadline: float, progress: StreamProgress
) -> CallResult:
    """Return a response whose body is still arriving with all of its body, once that is there.

    Nothing was sent to the caller by then, so that a body that doesn't arrive can still become a
    refusal.

    :param deadline: event loop time after which the body is no longer awaited.
    """
    body = t.cast(BodyStream, target_response.stream)
    chunks: list[bytes] = []
    try:
        async with asyncio.timeout_at(deadline):
            while True:
                with progress.sender_wait:
                    read = await body.read()
                match read:
                    case Ok(b""):
                        whole = b"".join(chunks)
                        return replace(target_response, stream=None, body=whole).as_result()
                    case Ok(data):
                        chunks.append(data)
                    case Err(reason):
                        return progress.broken_off(reason)
    except TimeoutError:
        return progress.broken_off("the deadline passed")
    finally:
        body.close()


async def stream_body(
    request: web.BaseRequest,
    response: web.StreamResponse,
    target_response: Response,
    deadline: float,
    progress: StreamProgress,
) -> CallResult:
    """Write a response whose body is still arriving, and return the call's result.

    The next bytes are read once the caller's connection takes them, so a slow caller slows the
    sender down. If the body breaks off, the connection is aborted before the announced length: the
    caller must not take the part for the whole.

    :param deadline: event loop time after which the body breaks off.
    :raises ConnectionResetError: if the caller disconnected.
    """
    body = t.cast(BodyStream, target_response.stream)
    response.content_length = body.total
    try:
        async with asyncio.timeout_at(deadline):
            await response.prepare(request)
            while True:
                with progress.sender_wait:
                    read = await body.read()
                match read:
                    case Ok(b""):
                        break
                    case Ok(data):
                        with progress.caller_wait:
                            await response.write(data)
                        progress.sent += len(data)
                    case Err(reason):
                        _abort(request)
                        return progress.broken_off(reason)
            await response.write_eof()
            return target_response.as_result()
    except TimeoutError:
        _abort(request)
        return progress.broken_off("the deadline passed")
    except BaseException:
        _abort(request)
        raise
    finally:
        body.close()


def _abort(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.abort()
