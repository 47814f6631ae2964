"""HTTP applications for the target's registration, readiness checks and metrics."""

import typing as t

import msgspec
from aiohttp import web
from msgspec.structs import asdict
from result import Err
from result import Ok
from result import Result

from bulrushflow.metrics import Metrics
from bulrushflow.sidecar.calls.admission_controller import AdmissionController
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import TargetEntry
from bulrushflow.sidecar.model import TargetState
from bulrushflow.sidecar.records.registration import Registration
from bulrushflow.sidecar.settings import Endpoint

ACKNOWLEDGE_TIMEOUT_S = 0.6
"""Maximum time to wait for the store before deregistration or draining is acknowledged. The target
waits one second for the acknowledgement."""

AnnouncementDecoder = t.Callable[[str, bytes], Result[tuple[TargetEntry, Endpoint], str]]


class AnnouncementPaths(t.NamedTuple):
    """Paths of the platform's HTTP endpoints."""

    targets: str
    """With the placeholder ``{target_id}``."""
    readiness: str


class ReadinessReport(msgspec.Struct, frozen=True):
    """What the readiness check says of this node."""

    ready: bool
    """Whether callers should use the node."""
    configuration: int
    """Version of the configuration in force; 0 for none."""
    rejected_configuration: str | None
    """Why the newest configuration was rejected; ``None`` if it is in force."""


def announcement_application(
    paths: AnnouncementPaths,
    decode: AnnouncementDecoder,
    admission: AdmissionController,
    registration: Registration,
    decisions: DecisionLog,
) -> web.Application:
    """Return the application that registers and deregisters the target.

    When a target drains or deregisters, this node sends it no new calls from then on. The response
    waits up to :data:`ACKNOWLEDGE_TIMEOUT_S` until the store has the change too.
    """

    async def announce(request: web.Request) -> web.Response:
        target_id = request.match_info["target_id"]
        match decode(target_id, await request.read()):
            case Err(reason):
                decisions.event("announcement refused", target=target_id, reason=reason)
                return web.json_response({"error": reason}, status=400)
            case Ok((entry, endpoint)):
                pass
        if not admission.apply_announcement(entry, endpoint):
            decisions.event(
                "announcement late",
                target=target_id,
                incarnation=entry.incarnation,
                sequence=entry.sequence,
            )
        elif entry.state is not TargetState.READY:
            await registration.wait_written(ACKNOWLEDGE_TIMEOUT_S)
        return web.json_response({})

    async def deregister(request: web.Request) -> web.Response:
        admission.remove_target(request.match_info["target_id"])
        await registration.wait_written(ACKNOWLEDGE_TIMEOUT_S)
        return web.json_response({})

    app = web.Application()
    app.router.add_put(paths.targets, announce)
    app.router.add_delete(paths.targets, deregister)
    return app


def metrics_application(metrics: Metrics) -> web.Application:
    """Return the application that serves the counters and histograms."""
    app = web.Application()
    app.router.add_get("/metrics", metrics.serve)
    return app


def readiness_application(path: str, report: t.Callable[[], ReadinessReport]) -> web.Application:
    """Return the readiness check: status 200 while this node accepts calls, else 503.

    The body is the report in JSON.
    """

    async def ready(_: web.Request) -> web.Response:
        current = report()
        return web.json_response(asdict(current), status=200 if current.ready else 503)

    app = web.Application()
    app.router.add_get(path, ready)
    return app
