"""HTTP server whose errors show nothing of a malformed request.

The library's error texts quote the header that can't be parsed, which may be one with a key.
"""

import typing as t

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.unsent import has_unsent

Handler = t.Callable[[web.BaseRequest], t.Awaitable[web.StreamResponse]]


class _RequestHandler(web.RequestHandler):
    __slots__ = ("decisions",)
    decisions: DecisionLog

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        error = type(exc).__name__
        self.decisions.event("malformed request", status=status, error=error)
        response = web.Response(status=status, text=f"malformed request: {error}")
        response.force_close()
        return response


class HttpServer(web.Server):
    """An HTTP server for requests that may carry keys.

    :param options: see :class:`aiohttp.web.Server`.
    """

    def __init__(self, handler: Handler, decisions: DecisionLog, **options: t.Any) -> None:
        super().__init__(handler, **options)
        self._decisions = decisions

    @property
    def has_unsent(self) -> bool:
        """Whether the end of a response still waits in a connection's buffer of this process."""
        return has_unsent(self)

    def __call__(self) -> web.RequestHandler:
        handler = _RequestHandler(self, loop=self._loop, **self._kwargs)
        handler.decisions = self._decisions
        return handler
