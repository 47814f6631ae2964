"""Reading of callers' request bodies, with bounds on one body and on all that are held at once."""

import typing as t

import msgspec
from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from result import Err
from result import Ok
from result import Result

from bulrushflow.routing import ByteBudget

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyError(msgspec.Struct, frozen=True):
    """Why a body was not read to its end, and the HTTP status that says so."""

    status: int
    reason: str


class BodyReservation:
    """The part of a byte budget that one call's body takes; released when the context ends."""

    __slots__ = ("_budget", "reserved_bytes")

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self.reserved_bytes = 0

    def __enter__(self) -> t.Self:
        return self

    def __exit__(self, *_: object) -> None:
        self._budget.release(self.reserved_bytes)
        self.reserved_bytes = 0

    def grow(self, size: int) -> bool:
        """Reserve up to ``size`` bytes in all; return whether the budget has room for them."""
        missing = size - self.reserved_bytes
        if missing <= 0:
            return True
        if not self._budget.reserve(missing):
            return False
        self.reserved_bytes = size
        return True

    def refusal(self, size: int) -> BodyError:
        """Return the error for a body of ``size`` bytes that the budget has no room for."""
        return no_space_error(self._budget, size)


def no_space_error(budget: ByteBudget, size: int) -> BodyError:
    """Return the error for a body of ``size`` bytes that a budget has no room for."""
    return BodyError(
        503,
        f"no buffer space at this node for a body of {size} bytes: "
        f"{budget.used_bytes} of at most {budget.max_bytes} bytes are in use",
    )


async def read_body(
    request: web.BaseRequest, max_bytes: int, reservation: BodyReservation
) -> Result[bytes, BodyError]:
    """Read a request's whole body.

    A body that can't be accepted is refused before it is read, if its length is known. One without
    a length takes space as it arrives.

    :param max_bytes: bound on the body.
    """
    if not request.body_exists:
        return Ok(b"")
    length = request.content_length or 0
    if length > max_bytes:
        return Err(_too_large(f"{length}", max_bytes))
    if not reservation.grow(length):
        return Err(reservation.refusal(length))
    if request.headers.get("expect", "").lower() == "100-continue":
        await request.writer.write(CONTINUE)
        request.writer.output_size = 0
    chunks = bytearray()
    try:
        async for chunk in request.content.iter_any():
            size = len(chunks) + len(chunk)
            if size > max_bytes:
                return Err(_too_large(f"over {max_bytes}", max_bytes))
            if not reservation.grow(size):
                return Err(reservation.refusal(size))
            chunks += chunk
    except HttpProcessingError:
        return Err(BodyError(400, "the body can't be read: its HTTP encoding is malformed"))
    return Ok(bytes(chunks))


def _too_large(size: str, max_bytes: int) -> BodyError:
    return BodyError(
        413, f"the body is too large: {size} bytes, at most {max_bytes} bytes are accepted"
    )
