"""The node's HTTP endpoint for operators: status, rollouts, convergence, metrics."""

import asyncio
import typing as t
from collections import Counter

import msgspec
from aiohttp import web
from result import Err
from result import Ok
from result import Result

from bulrushflow import __version__
from bulrushflow.configuration import ConfigurationStore
from bulrushflow.configuration import Rollout
from bulrushflow.configuration import RolloutStatus
from bulrushflow.configuration import Verdict
from bulrushflow.configuration import digest
from bulrushflow.configuration import encode_configuration
from bulrushflow.configuration import encode_record
from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.membership import Status
from bulrushflow.metrics import Metrics
from bulrushflow.nodes import Gossip
from bulrushflow.operators.reports import Convergence
from bulrushflow.operators.reports import MemberStatus
from bulrushflow.operators.reports import NodeStatus
from bulrushflow.operators.reports import RolloutReport
from bulrushflow.operators.reports import UnrecordedDecisions
from bulrushflow.recording import Recorder
from bulrushflow.rollouts import SharedRollouts

MAX_CONCURRENT_PROBES = 64


class OperatorEndpoint:
    """Serves operators' requests from this node's own state."""

    def __init__(
        self,
        store: ConfigurationStore,
        table: MemberTable,
        shared_rollouts: SharedRollouts,
        gossip: Gossip,
        recorder: Recorder,
        metrics: Metrics,
        is_ready: t.Callable[[], bool],
    ) -> None:
        self._store = store
        self._table = table
        self._shared_rollouts = shared_rollouts
        self._gossip = gossip
        self._recorder = recorder
        self._metrics = metrics
        self._is_ready = is_ready

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/ready", self.ready)
        app.router.add_get("/status", self.status)
        app.router.add_get("/configuration", self.configuration)
        app.router.add_get("/records", self.records)
        app.router.add_get("/unrecorded", self.unrecorded)
        app.router.add_get("/convergence", self.convergence)
        app.router.add_get("/verdicts/{publish_id}", self.verdict)
        app.router.add_get("/moves", self.moves)
        app.router.add_get("/moves/{move_id}", self.move)
        app.router.add_get("/metrics", self.metrics)
        return app

    async def ready(self, _: web.Request) -> web.Response:
        """Respond with 200 when the node takes calls, else 503."""
        ready = self._is_ready()
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def status(self, _: web.Request) -> web.Response:
        """Respond with :class:`NodeStatus`."""
        own = self._table.own
        members = [_member_status(m) for m in self._table.by_id.values()]
        status = NodeStatus(
            __version__,
            own.node_id,
            own.data_centre,
            self._is_ready(),
            self._store.current.offset,
            digest(self._store.current),
            sorted(members, key=lambda m: m.node_id),
            [r.publish_id for r in self._recorder.pending_records()],
            self._store.current.schema_level,
            self._store.unsupported,
        )
        return _json(status)

    async def configuration(self, _: web.Request) -> web.Response:
        """Respond with the configuration in force."""
        body = encode_configuration(self._store.current)
        return web.Response(body=body, content_type="application/json")

    async def records(self, request: web.Request) -> web.Response:
        """Respond with the log's records from an offset on, 410 when some are not retained."""
        match _parse_offset(request, "from"):
            case Err(reason):
                return _bad_request(reason)
            case Ok(from_offset):
                pass
        records = self._store.records_from(from_offset)
        if records is None:
            return web.json_response(
                {"error": f"records from offset {from_offset} are no longer retained"}, status=410
            )
        return _json(records)

    async def unrecorded(self, _: web.Request) -> web.Response:
        """Respond with :class:`UnrecordedDecisions`."""
        reports = [self._rollout_report(r) for r in self._store.current.active_rollouts()]
        return _json(
            UnrecordedDecisions(
                self._table.own_id,
                [msgspec.Raw(encode_record(r)) for r in self._recorder.pending_records()],
                [r for r in reports if r.taken_back],
            )
        )

    async def verdict(self, request: web.Request) -> web.Response:
        """Respond with the verdict on a publish id, 404 while there is none."""
        publish_id = request.match_info["publish_id"]
        verdict: Verdict | None = self._store.current.verdicts_by_publish_id.get(publish_id)
        return _json(verdict) if verdict else _not_found(f"no verdict on {publish_id}")

    async def moves(self, _: web.Request) -> web.Response:
        """Respond with all rollouts in the configuration."""
        return _json(list(self._store.current.moves_by_id.values()))

    async def move(self, request: web.Request) -> web.Response:
        """Respond with :class:`RolloutReport`, 404 for an unknown id."""
        rollout = self._store.current.moves_by_id.get(request.match_info["move_id"])
        if rollout is None:
            return _not_found(f"unknown move {request.match_info['move_id']}")
        return _json(self._rollout_report(rollout))

    async def convergence(self, request: web.Request) -> web.Response:
        """Probe all live members for their version, and respond with :class:`Convergence`."""
        match _parse_offset(request, "offset"):
            case Err(reason):
                return _bad_request(reason)
            case Ok(offset):
                pass
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_PROBES)

        async def probe(member: Member) -> int | None:
            async with semaphore:
                return await self._gossip.probe(member)

        peers = self._table.live_peers()
        versions = await asyncio.gather(*(probe(m) for m in peers))
        by_id = dict(zip((m.node_id for m in peers), versions, strict=True))
        by_id[self._table.own_id] = self._store.current.offset
        return _json(
            Convergence(
                offset,
                sum(1 for v in by_id.values() if v is not None and v >= offset),
                sorted(n for n, v in by_id.items() if v is not None and v < offset),
                sorted(n for n, v in by_id.items() if v is None),
            )
        )

    async def metrics(self, request: web.Request) -> web.Response:
        """Respond with the metrics in Prometheus's text format."""
        self._update_gauges()
        return await self._metrics.serve(request)

    def _update_gauges(self) -> None:
        counts = Counter(member.status for member in self._table.by_id.values())
        for status in Status:
            self._metrics.members.set({"status": status.name.lower()}, counts[status])
        self._metrics.ready.set({}, int(self._is_ready()))
        self._metrics.unrecorded.set({}, len(self._recorder.pending_records()))

    def _rollout_report(self, rollout: Rollout) -> RolloutReport:
        shared = self._shared_rollouts.by_offset.get(rollout.offset)
        prefix = f"{rollout.move_id}/"
        pending_ids = [r.publish_id for r in self._recorder.pending_records()]
        return RolloutReport(
            rollout,
            _traffic_share_permille(rollout, self._shared_rollouts),
            shared.rolled_back if shared else rollout.status is RolloutStatus.ROLLED_BACK,
            shared.reason if shared else "",
            shared.decided_by if shared else rollout.decided_by,
            [i for i in pending_ids if i.startswith(prefix)],
        )


def _traffic_share_permille(rollout: Rollout, shared_rollouts: SharedRollouts) -> int:
    if rollout.status is RolloutStatus.ACTIVE:
        return shared_rollouts.share_permille(rollout.offset)
    return 1000 if rollout.status is RolloutStatus.COMPLETED else 0


def _member_status(member: Member) -> MemberStatus:
    target = member.target
    return MemberStatus(
        member.node_id,
        member.data_centre,
        member.address,
        member.peer_port,
        member.status.name.lower(),
        target.service if target else "",
        target.version if target else "",
        target.state.name.lower() if target else "",
    )


def _json(value: t.Any) -> web.Response:
    return web.Response(body=msgspec.json.encode(value), content_type="application/json")


def _parse_offset(request: web.Request, name: str) -> Result[int, str]:
    try:
        return Ok(int(request.query[name]))
    except (KeyError, ValueError):
        return Err(f"{name} must be a number")


def _bad_request(message: str) -> web.Response:
    return web.json_response({"error": message}, status=400)


def _not_found(message: str) -> web.Response:
    return web.json_response({"error": message}, status=404)
