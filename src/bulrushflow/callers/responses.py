"""HTTP responses to callers, for the results of calls and for refused requests."""

from aiohttp import web
from multidict import CIMultiDict
from result import Err
from result import Ok

from bulrushflow.routing import Call
from bulrushflow.routing import CallFailure
from bulrushflow.routing import CallResult
from bulrushflow.routing import Outcome
from bulrushflow.targets.client import NOT_RUN_VALUE
from bulrushflow.targets.client import OUTCOME_HEADER
from bulrushflow.targets.client import REQUEST_ID_HEADER

UNKNOWN_VALUE = "unknown"
ANSWER_LOST_VALUE = "answer-lost"

_STATUS_BY_OUTCOME = {
    Outcome.NOT_RUN: 503,
    Outcome.REFUSED: 503,
    Outcome.UNKNOWN: 504,
    Outcome.ANSWER_LOST: 502,
}
_VALUE_BY_OUTCOME = {
    Outcome.NOT_RUN: NOT_RUN_VALUE,
    Outcome.REFUSED: NOT_RUN_VALUE,
    Outcome.UNKNOWN: UNKNOWN_VALUE,
    Outcome.ANSWER_LOST: ANSWER_LOST_VALUE,
}


def to_http_response(call: Call, result: CallResult) -> web.Response:
    """Return the HTTP response for the result of a call."""
    match result:
        case Ok(response):
            headers = CIMultiDict(response.headers)
            headers[REQUEST_ID_HEADER] = call.request_id
            return web.Response(status=response.status, headers=headers, body=response.body)
        case Err(failure):
            return _failure_response(call, failure)


def refusal_response(status: int, reason: str, close: bool = False) -> web.Response:
    """Return the HTTP response to a request that was refused before its call was dispatched.

    :param close: whether to close the caller's connection after the response.
    """
    response = web.json_response({"error": reason}, status=status)
    response.headers[OUTCOME_HEADER] = NOT_RUN_VALUE
    if close:
        response.force_close()
    return response


def _failure_response(call: Call, failure: CallFailure) -> web.Response:
    response = web.json_response(
        {"error": failure.reason}, status=_STATUS_BY_OUTCOME[failure.outcome]
    )
    response.headers[OUTCOME_HEADER] = _VALUE_BY_OUTCOME[failure.outcome]
    response.headers[REQUEST_ID_HEADER] = call.request_id
    return response
