"""Reading of callers' request bodies, with a bound on their size."""

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from result import Err
from result import Ok
from result import Result

MALFORMED_BODY = "the body can't be read: its HTTP encoding is malformed"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def expected_bytes(request: web.BaseRequest, max_bytes: int) -> int:
    """Return the bytes to reserve for a request's body: its length, or ``max_bytes`` if unknown."""
    if not request.body_exists:
        return 0
    length = request.content_length
    return max_bytes if length is None else length


async def read_body(request: web.BaseRequest, max_bytes: int) -> Result[bytes, str]:
    """Read a request's whole body.

    The error says that it is longer than ``max_bytes`` or malformed.
    """
    if not request.body_exists:
        return Ok(b"")
    if request.headers.get("expect", "").lower() == "100-continue":
        await request.writer.write(CONTINUE)
        request.writer.output_size = 0
    chunks = bytearray()
    try:
        async for chunk in request.content.iter_any():
            chunks += chunk
            if len(chunks) > max_bytes:
                return Err(f"the body is too large: at most {max_bytes} bytes are accepted")
    except HttpProcessingError:
        return Err(MALFORMED_BODY)
    return Ok(bytes(chunks))


def refusal_status(reason: str) -> int:
    """Return the HTTP status for an error of :func:`read_body`."""
    return 400 if reason == MALFORMED_BODY else 413
