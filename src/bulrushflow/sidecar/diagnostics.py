"""HTTP server on the node's metrics address: metrics, and where a request would go.

A key arrives only in the header ``Authorization``; neither it nor a refused query is logged or
returned.
"""

import random
import typing as t

import msgspec
from aiohttp import web
from result import Err
from result import Ok
from result import Result

from bulrushflow.metrics import Metrics
from bulrushflow.sidecar.calls.call_builder import DEFAULT_TIMEOUT_S
from bulrushflow.sidecar.calls.explanation import Explainer
from bulrushflow.sidecar.calls.explanation import Question
from bulrushflow.sidecar.calls.headers import AUTHORIZATION
from bulrushflow.sidecar.calls.http_server import HttpServer
from bulrushflow.sidecar.decisions import DecisionLog

METRICS_PATH = "/metrics"
EXPLAIN_PATH = "/explain"
PARAMETERS = ("host", "path", "caller", "time_left_ms")
MAX_TIME_LEFT_DIGITS = 9
"""As for the header of callers, whose longer numbers are cut."""
BAD_REQUEST = 400


def diagnostics_server(
    metrics: Metrics, explainer: Explainer, decisions: DecisionLog
) -> web.Server:
    """Return the server of ``GET /metrics`` and ``GET /explain``."""

    def explain(request: web.BaseRequest) -> web.Response:
        match parse_question(request.query, request.headers.getall(AUTHORIZATION, [])):
            case Err(reason):
                return web.json_response({"error": reason}, status=BAD_REQUEST)
            case Ok(question):
                pass
        # Its draws leave the node's own random numbers as they are.
        explanation = explainer.explain(question, random.Random())
        body = msgspec.json.encode(explanation)
        return web.Response(body=body, content_type="application/json")

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path not in (METRICS_PATH, EXPLAIN_PATH):
            return web.Response(status=404)
        if request.method not in ("GET", "HEAD"):
            return web.Response(status=405, headers={"Allow": "GET, HEAD"})
        return explain(request) if request.path == EXPLAIN_PATH else await metrics.serve(request)

    return HttpServer(handle, decisions, access_log=None)


def parse_question(
    query: t.Mapping[str, str], authorizations: t.Sequence[str]
) -> Result[Question, str]:
    """Return the question in a query, or what is wrong with it.

    The error quotes no value, and no name of an unknown parameter: they might be a key.
    """
    if any(name not in PARAMETERS for name in query):
        return Err(f"the query may have {', '.join(PARAMETERS)}; a key goes into {AUTHORIZATION}")
    host, path = query.get("host", ""), query.get("path", "")
    if not host:
        return Err("the query has no host")
    if not path.startswith("/"):
        return Err("the query has no path that begins with /")
    text = query.get("time_left_ms")
    if text is None:
        time_left_s = DEFAULT_TIMEOUT_S
    elif text.isascii() and text.isdigit() and len(text) <= MAX_TIME_LEFT_DIGITS:
        time_left_s = min(DEFAULT_TIMEOUT_S, int(text) / 1000)
    else:
        return Err("time_left_ms is not a number of milliseconds")
    return Ok(Question(host, path, time_left_s, query.get("caller", ""), tuple(authorizations)))
