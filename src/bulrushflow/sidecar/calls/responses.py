"""HTTP responses to callers: those of targets, and those of this node."""

import random

from aiohttp import web
from multidict import CIMultiDict

from bulrushflow.routing import Call
from bulrushflow.routing import Response
from bulrushflow.sidecar.calls.headers import HeaderNames
from bulrushflow.sidecar.calls.keys import RefusedRequest
from bulrushflow.sidecar.calls.refusals import RANDOM_RETRY_AFTER_S


class ResponseBuilder:
    """Builds the responses of one node.

    :param rng: spreads the retries of refused callers.
    """

    __slots__ = ("_header_names", "_rng")

    def __init__(self, header_names: HeaderNames, rng: random.Random) -> None:
        self._header_names = header_names
        self._rng = rng

    def forwarded(self, call: Call, target_response: Response) -> web.Response:
        """Return a target's response, whose body is complete."""
        return web.Response(
            status=target_response.status,
            headers=self.headers(call, target_response),
            body=target_response.body,
        )

    def headers(self, call: Call, target_response: Response) -> CIMultiDict[str]:
        """Return the headers with which a target's response is passed on."""
        headers = CIMultiDict(target_response.headers)
        headers[self._header_names.request_id] = call.request_id
        return headers

    def refused(self, request_id: str, refused: RefusedRequest) -> web.Response:
        """Return the response to a refused request, with the headers of the refusal."""
        response = self.error(request_id, refused.status, refused.reason)
        response.headers.update(refused.headers)
        return response

    def error(
        self, request_id: str, status: int, reason: str, retry_after_s: float | None = None
    ) -> web.Response:
        """Return an error of this node; one of status 503 always says when to come back.

        :param request_id: empty for a request without one.
        :param retry_after_s: seconds until the caller should come back.
        """
        response = web.json_response({"error": reason}, status=status)
        if request_id:
            response.headers[self._header_names.request_id] = request_id
        if retry_after_s is not None:
            response.headers["Retry-After"] = f"{retry_after_s:.0f}"
        elif status == 503:
            wait_s = self._rng.uniform(*RANDOM_RETRY_AFTER_S)
            response.headers["Retry-After"] = f"{wait_s:.2f}"
        return response
