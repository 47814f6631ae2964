"""The node's HTTP endpoint for operators: status, accounts of moves, convergence, metrics."""

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
    """Answers operators from this node's own state."""

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
        """Answer 200 when the node takes calls, else 503."""
        ready = self._is_ready()
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def status(self, _: web.Request) -> web.Response:
        """Answer with :class:`NodeStatus`."""
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
        """Answer with the configuration in force."""
        body = encode_configuration(self._store.current)
        return web.Response(body=body, content_type="application/json")

    async def records(self, request: web.Request) -> web.Response:
        """Answer with the log's records from an offset on, 410 when some are not held."""
        match _parse_offset(request, "from"):
            case Err(reason):
                return _bad_request(reason)
            case Ok(from_offset):
                pass
        held = self._store.records_from(from_offset)
        if held is None:
            return web.json_response({"error": "not held any more"}, status=410)
        return _json(held)

    async def unrecorded(self, _: web.Request) -> web.Response:
        """Answer with :class:`UnrecordedDecisions`."""
        accounts = [self._rollout_report(m) for m in self._store.current.active_rollouts()]
        return _json(
            UnrecordedDecisions(
                self._table.own_id,
                [msgspec.Raw(encode_record(r)) for r in self._recorder.pending_records()],
                [a for a in accounts if a.taken_back],
            )
        )

    async def verdict(self, request: web.Request) -> web.Response:
        """Answer with the verdict on a publish id, 404 while there is none."""
        publish_id = request.match_info["publish_id"]
        verdict: Verdict | None = self._store.current.verdicts_by_publish_id.get(publish_id)
        return _json(verdict) if verdict else _not_found(f"no verdict on {publish_id}")

    async def moves(self, _: web.Request) -> web.Response:
        """Answer with all moves in the configuration."""
        return _json(list(self._store.current.moves_by_id.values()))

    async def move(self, request: web.Request) -> web.Response:
        """Answer with :class:`RolloutReport`."""
        move = self._store.current.moves_by_id.get(request.match_info["move_id"])
        if move is None:
            return _not_found("unknown move")
        return _json(self._rollout_report(move))

    async def convergence(self, request: web.Request) -> web.Response:
        """Ask every member which version it holds; answer with :class:`Convergence`."""
        match _parse_offset(request, "offset"):
            case Err(reason):
                return _bad_request(reason)
            case Ok(offset):
                pass
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_PROBES)

        async def probe(member: Member) -> int | None:
            async with semaphore:
                return await self._gossip.probe(member)

        others = self._table.live_peers()
        held = await asyncio.gather(*(probe(m) for m in others))
        by_id = dict(zip((m.node_id for m in others), held, strict=True))
        by_id[self._table.own_id] = self._store.current.offset
        return _json(
            Convergence(
                offset,
                sum(1 for h in by_id.values() if h is not None and h >= offset),
                sorted(n for n, h in by_id.items() if h is not None and h < offset),
                sorted(n for n, h in by_id.items() if h is None),
            )
        )

    async def metrics(self, request: web.Request) -> web.Response:
        """Answer with the metrics in Prometheus's text format."""
        self._update_gauges()
        return await self._metrics.serve(request)

    def _update_gauges(self) -> None:
        counts = Counter(member.status for member in self._table.by_id.values())
        for status in Status:
            self._metrics.members.set({"status": status.name.lower()}, counts[status])
        self._metrics.ready.set({}, int(self._is_ready()))
        self._metrics.unrecorded.set({}, len(self._recorder.pending_records()))

    def _rollout_report(self, move: Rollout) -> RolloutReport:
        shared = self._shared_rollouts.by_offset.get(move.offset)
        prefix = f"{move.move_id}/"
        unrecorded = [r.publish_id for r in self._recorder.pending_records()]
        return RolloutReport(
            move,
            _traffic_share(move, self._shared_rollouts),
            shared.rolled_back if shared else move.status is RolloutStatus.ROLLED_BACK,
            shared.reason if shared else "",
            shared.decided_by if shared else move.decided_by,
            [u for u in unrecorded if u.startswith(prefix)],
        )


def _traffic_share(move: Rollout, shared_rollouts: SharedRollouts) -> int:
    if move.status is RolloutStatus.ACTIVE:
        return shared_rollouts.share_permille(move.offset)
    return 1000 if move.status is RolloutStatus.COMPLETED else 0


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
