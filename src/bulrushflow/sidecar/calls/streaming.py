"""Writing of a response to its caller while its body is still arriving."""

import asyncio
import typing as t

from aiohttp import web
from result import Err
from result import Ok

from bulrushflow.routing import BodyStream
from bulrushflow.routing import CallResult
from bulrushflow.routing import Response
from bulrushflow.routing import answer_lost


async def stream_body(
    request: web.BaseRequest,
    response: web.StreamResponse,
    target_response: Response,
    deadline: float,
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
    sent = 0
    try:
        async with asyncio.timeout_at(deadline):
            await response.prepare(request)
            while True:
                match await body.read():
                    case Ok(b""):
                        break
                    case Ok(data):
                        await response.write(data)
                        sent += len(data)
                    case Err(reason):
                        return _break_off(request, reason, sent, body.total)
            await response.write_eof()
            return target_response.as_result()
    except TimeoutError:
        return _break_off(request, "the deadline passed", sent, body.total)
    except BaseException:
        _abort(request)
        raise
    finally:
        body.close()


def _break_off(request: web.BaseRequest, reason: str, sent: int, total: int) -> CallResult:
    _abort(request)
    return answer_lost(f"response broken off after {sent} of {total} bytes: {reason}")


def _abort(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.abort()
