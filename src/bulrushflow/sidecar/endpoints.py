"""HTTP applications for the target's registration and readiness checks."""

import typing as t

import msgspec
from aiohttp import web
from msgspec.structs import asdict
from result import Err
from result import Ok
from result import Result

from bulrushflow.sidecar.calls.admission_controller import AdmissionController
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import TargetEntry
from bulrushflow.sidecar.model import TargetState
from bulrushflow.sidecar.records.registration import Registration
from bulrushflow.sidecar.settings import Endpoint

ACKNOWLEDGE_TIMEOUT_S = 0.6
"""Maximum time to wait for the store before a leave is answered. The target waits one second for
the acknowledgement."""
LOAD_TIMEOUT_S = 0.6
"""Maximum time for which an announcement waits until this node has read its own entry."""
SERVICE_UNAVAILABLE = 503

AnnouncementDecoder = t.Callable[[str, bytes], Result[tuple[TargetEntry, Endpoint], str]]


class AnnouncementPaths(t.NamedTuple):
    """Paths of the platform's HTTP endpoints."""

    targets: str
    """With the placeholder ``{target_id}``."""
    readiness: str


class AnnouncementChecks(t.NamedTuple):
    """What has to hold before an announcement is applied."""

    wait_loaded: t.Callable[[float], t.Awaitable[bool]]
    """Waits up to that many seconds until this node has read its own entry, which names the targets
    that left it; returns whether it has."""
    is_known_service: t.Callable[[str], bool]


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
    checks: AnnouncementChecks,
    decisions: DecisionLog,
) -> web.Application:
    """Return the application that registers and deregisters the target.

    When a target drains or deregisters, this node sends it no new calls from then on. That is
    acknowledged only once the store has it, since this node would use the target again after a
    restart; without the store's confirmation the response is 503.

    Nothing is applied before this node has read its own entry: a delayed announcement may be of a
    target that left before a restart.
    """

    async def acknowledge_leave(target_id: str) -> web.Response:
        if await registration.wait_written(ACKNOWLEDGE_TIMEOUT_S):
            return web.json_response({})
        reason = f"the store did not confirm the leave within {ACKNOWLEDGE_TIMEOUT_S} s"
        decisions.event("leave not acknowledged", target=target_id, reason=reason)
        return web.json_response({"error": reason}, status=SERVICE_UNAVAILABLE)

    def not_loaded(target_id: str) -> web.Response:
        reason = "this node has not read its own entry from the store yet"
        decisions.event("announcement refused", target=target_id, reason=reason)
        return web.json_response({"error": reason}, status=SERVICE_UNAVAILABLE)

    def not_applied(target_id: str) -> web.Response:
        reason = "a later start of the target is known, whose process may be alive"
        decisions.event("leave not acknowledged", target=target_id, reason=reason)
        return web.json_response({"error": reason}, status=SERVICE_UNAVAILABLE)

    async def announce(request: web.Request) -> web.Response:
        target_id = request.match_info["target_id"]
        match decode(target_id, await request.read()):
            case Err(reason):
                decisions.event("announcement refused", target=target_id, reason=reason)
                return web.json_response({"error": reason}, status=400)
            case Ok((entry, endpoint)):
                pass
        if not await checks.wait_loaded(LOAD_TIMEOUT_S):
            return not_loaded(target_id)
        if not checks.is_known_service(entry.service):
            reason = f"announcement: no configuration has service {entry.service!r}"
            decisions.event("announcement refused", target=target_id, reason=reason)
            return web.json_response({"error": reason}, status=400)
        if not admission.apply_announcement(entry, endpoint):
            decisions.event(
                "announcement late",
                target=target_id,
                incarnation=entry.incarnation,
                sequence=entry.sequence,
            )
        if entry.state is not TargetState.READY:
            if admission.is_ready(target_id):
                return not_applied(target_id)
            # Also if it is late: the leave that it follows may not be in the store yet.
            return await acknowledge_leave(target_id)
        return web.json_response({})

    async def deregister(request: web.Request) -> web.Response:
        target_id = request.match_info["target_id"]
        if not await checks.wait_loaded(LOAD_TIMEOUT_S):
            return not_loaded(target_id)
        admission.remove_target(target_id)
        return await acknowledge_leave(target_id)

    app = web.Application()
    app.router.add_put(paths.targets, announce)
    app.router.add_delete(paths.targets, deregister)
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
