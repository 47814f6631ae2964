"""Allowances of organisations over all nodes: admission of requests, and messages about them.

The decisions are in :mod:`bulrushflow.organisations`. Without limits nothing is sent or stored.
"""

import asyncio
import functools
import typing as t

from result import Err
from result import Ok

from bulrushflow.metrics import Metrics
from bulrushflow.organisations import Allowance
from bulrushflow.organisations import AllowanceHome
from bulrushflow.organisations import Allowances
from bulrushflow.organisations import Decision
from bulrushflow.organisations import Demand
from bulrushflow.organisations import Grant
from bulrushflow.organisations import HomeChoice
from bulrushflow.organisations import Limit
from bulrushflow.organisations.homes import OWN_KEY
from bulrushflow.sidecar.calls import allowance_codec
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.records.directory import Directory
from bulrushflow.sidecar.records.directory import Peer
from bulrushflow.timers import Clock
from bulrushflow.timers import Timers
from bulrushflow.wire import messages
from bulrushflow.wire.links import Links

REVIEW_PERIOD_S = 0.25
"""Interval at which shares are renewed, and the known nodes are compared with the last ones."""
REPORT_TIMEOUT_S = 0.3
"""Time after which a home that doesn't answer counts as away; requests wait less."""
PROBE_TIMEOUT_S = 1.0
MAX_PROBES = 24
"""Nodes that are asked what they hold at the same time."""
BEYOND_ALLOWANCE = "beyond the allowance"
HOME_AWAY = "the home of the organisation doesn't answer"
ANSWER_LATE = "the home of the organisation didn't answer within the request's wait"


class AllowanceService:
    """Decides on requests of organisations with a limit, and divides the limits it is home of.

    :param own_key: key of this node's entry.
    :param on_unreachable: called with a node to which no connection can be opened.
    """

    def __init__(
        self,
        own_key: str,
        links: Links,
        directory: Directory,
        on_unreachable: t.Callable[[Peer], None],
        metrics: Metrics,
        decisions: DecisionLog,
        clock: Clock,
    ) -> None:
        self._own_key = own_key
        self._links = links
        self._directory = directory
        self._on_unreachable = on_unreachable
        self._metrics = metrics
        self._decisions = decisions
        self._clock = clock
        self._limits: t.Mapping[str, Limit] = {}
        self._allowances = Allowances()
        self._home = AllowanceHome()
        self._choice = HomeChoice()
        self._reports_by_organisation: dict[str, asyncio.Task[None]] = {}
        """Reports under way."""
        self._probes_by_key: dict[str, asyncio.Task[None]] = {}
        links.handle("allowances_request", self._serve_request)
        links.handle("holdings_request", self._serve_holdings)

    def start(self, timers: Timers) -> None:
        """Renew shares from now on."""
        timers.subscribe("allowances", REVIEW_PERIOD_S, self._review)
        timers.subscribe_pause(lambda _: self._home.note_pause(_now()))

    def close(self) -> None:
        """End the messages under way."""
        for task in [*self._reports_by_organisation.values(), *self._probes_by_key.values()]:
            task.cancel()

    def configure(self, limits: t.Mapping[str, Limit]) -> None:
        """Apply the limits of a configuration, by organisation; others have none."""
        self._limits = limits
        self._allowances.configure(limits, _now())
        self._review_nodes(limits_changed=True)

    def preview(self, organisation: str) -> Allowance | None:
        """Return a copy of an organisation's allowance; ``None`` without a limit."""
        return self._allowances.preview(organisation, _now())

    async def admit(self, organisation: str, wait_s: float) -> float | None:
        """Use a token for a request; return ``None``, or the seconds after which to come back.

        :param wait_s: time that the request may wait for an answer of the home.
        """
        allowance = self._allowances.get(organisation, _now())
        if allowance is None:
            return None
        decision = allowance.arrive(_now())
        reason = BEYOND_ALLOWANCE
        if decision is Decision.ASK:
            decision = await self._ask(allowance, wait_s)
            if decision is Decision.ASK:
                decision = self._decide_alone(allowance)
                reason = HOME_AWAY if allowance.offline else ANSWER_LATE
        if decision is Decision.PASS:
            return None
        retry_after_s = allowance.retry_after_s(_now())
        self._metrics.count_allowance_refusal(organisation, reason)
        self._decisions.event(
            "allowance refused",
            organisation=organisation,
            reason=reason,
            limit_per_s=allowance.limit.per_s,
            share_per_s=round(allowance.per_s, 2),
            demand_per_s=round(allowance.demand_per_s, 2),
            home=self._choice.home_of(organisation),
            retry_after_s=round(retry_after_s, 2),
        )
        return retry_after_s

    async def _ask(self, allowance: Allowance, wait_s: float) -> Decision:
        """Decide on a request after an answer of the home; ``ASK`` if there is none in time."""
        allowance.wanted += 1
        try:
            async with asyncio.timeout(wait_s):
                while _now() >= allowance.offline_until:
                    await asyncio.shield(self._report_under_way(allowance))
                    decision = allowance.decide(_now())
                    if decision is Decision.PASS or not (
                        decision is Decision.ASK or allowance.offline
                    ):
                        return decision
        except TimeoutError:
            pass
        finally:
            allowance.wanted -= 1
        return Decision.ASK

    def _decide_alone(self, allowance: Allowance) -> Decision:
        key, count = self._own_key, self._choice.reached_count
        passes = allowance.spend_floor(key, count, self._clock.wall_ms() / 1000)
        return Decision.PASS if passes else Decision.REFUSE

    def _report_under_way(self, allowance: Allowance) -> asyncio.Task[None]:
        task = self._reports_by_organisation.get(allowance.organisation)
        if task is None:
            home = self._choice.home_of(allowance.organisation) or self._own_key
            task = self._start_report(home, [allowance])
        return task

    def _start_report(self, home: str, allowances: list[Allowance]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(self._report(home, allowances))
        names = [allowance.organisation for allowance in allowances]
        self._reports_by_organisation.update(dict.fromkeys(names, task))

        def forget(_: asyncio.Task[None]) -> None:
            for name in names:
                self._reports_by_organisation.pop(name, None)

        task.add_done_callback(forget)
        return task

    async def _report(self, home: str, allowances: list[Allowance]) -> None:
        """Report to a home, and apply its grants."""
        demands = [allowance.demand(_now()) for allowance in allowances]
        if home == self._own_key:
            grants = self._grant(OWN_KEY, demands)
        else:
            grants = await self._request_grants(home, demands)
        now = _now()
        for allowance, demand in zip(allowances, demands, strict=True):
            grant = grants.get(allowance.organisation)
            if grant is not None:
                allowance.apply_grant(grant, demand, now)
                continue
            if not allowance.offline:
                self._decisions.event(
                    "allowance home away",
                    organisation=allowance.organisation,
                    home=home,
                    share_per_s=round(allowance.per_s, 2),
                    fallback_per_s=round(allowance.fallback_per_s, 2),
                )
            allowance.mark_offline(now)

    async def _request_grants(self, home: str, demands: list[Demand]) -> dict[str, Grant]:
        peer = self._directory.peers_by_key.get(home)
        if peer is None:
            return {}
        request = allowance_codec.request_to_message(self._own_key, demands)
        endpoint = peer.entry.endpoint
        match await self._links.exchange(endpoint, REPORT_TIMEOUT_S, allowances_request=request):
            case Ok(frame) if frame.allowances_answer is not None:
                self._metrics.count_allowance_report("answered")
                return allowance_codec.grants_from_message(frame.allowances_answer)
            case Err(error) if not error.sent:
                self._on_unreachable(peer)
        self._metrics.count_allowance_report("unanswered")
        return {}

    def _grant(self, node_key: str, demands: t.Iterable[Demand]) -> dict[str, Grant]:
        """Divide the limits of those organisations anew that this node is the home of."""
        return {
            demand.organisation: self._home.report(
                node_key, demand, self._limits[demand.organisation], _now()
            )
            for demand in demands
            if demand.organisation in self._limits and self._is_home(demand.organisation)
        }

    def _is_home(self, organisation: str) -> bool:
        return self._choice.home_of(organisation) == self._own_key

    async def _serve_request(self, message: t.Any) -> dict[str, t.Any]:
        demands = allowance_codec.demands_from_message(message)
        await self._check_homes(demand.organisation for demand in demands)
        grants = self._grant(message.node_key, demands)
        return {"allowances_answer": allowance_codec.grants_to_message(grants.values())}

    async def _check_homes(self, organisations: t.Iterable[str]) -> None:
        """Check the connections to the nodes that this one takes for the homes of organisations.

        The node that reports here couldn't connect to them, and this one may not have tried.
        """
        homes = {self._choice.home_of(name) for name in organisations} - {self._own_key, None}
        for home in homes:
            peer = self._directory.peers_by_key.get(home or "")
            if peer is not None and not await self._links.ensure_connected(peer.entry.endpoint):
                self._on_unreachable(peer)
        if homes:
            self._review_nodes()

    async def _serve_holdings(self, message: t.Any) -> dict[str, t.Any]:
        return {"holdings": allowance_codec.holdings_to_message(self._allowances.holdings())}

    async def _review(self) -> None:
        if not self._limits:
            return
        self._review_nodes()
        allowances_by_home: dict[str, list[Allowance]] = {}
        for allowance in self._allowances.due(_now()):
            name = allowance.organisation
            if name not in self._reports_by_organisation:
                home = self._choice.home_of(name) or self._own_key
                allowances_by_home.setdefault(home, []).append(allowance)
        for home, allowances in allowances_by_home.items():
            self._start_report(home, allowances)
        for key in sorted(self._home.silent_nodes(_now()) - self._probes_by_key.keys()):
            if len(self._probes_by_key) >= MAX_PROBES:
                break
            task = asyncio.get_running_loop().create_task(self._probe(key))
            self._probes_by_key[key] = task
            task.add_done_callback(functools.partial(self._probes_by_key.pop, key))

    def _review_nodes(self, limits_changed: bool = False) -> None:
        """Apply a change of the nodes, of their reachability or of the limits."""
        peers = {
            key: peer
            for key, peer in self._directory.peers_by_key.items()
            if peer.entry.divides_allowances and key != self._own_key
        }
        unreachable = {key for key, peer in peers.items() if peer.unreachable}
        changed = self._choice.change([*peers, self._own_key], unreachable)
        self._allowances.node_count = len(peers) + 1
        if changed or limits_changed:
            own = {name for name in self._limits if self._is_home(name)}
            self._home.change_nodes(peers.keys(), unreachable, own, _now())

    async def _probe(self, key: str) -> None:
        """Ask a node what it holds; without an answer, its share stays reserved."""
        entry = self._directory.entry(key)
        if entry is None:
            return
        request = messages.HoldingsRequest()
        match await self._links.exchange(entry.endpoint, PROBE_TIMEOUT_S, holdings_request=request):
            case Ok(frame) if frame.holdings is not None:
                self._metrics.count_allowance_report("probe answered")
                own = {name: lim for name, lim in self._limits.items() if self._is_home(name)}
                holdings = allowance_codec.holdings_from_message(frame.holdings)
                self._home.add_holdings(key, holdings, own, _now())
            case _:
                self._metrics.count_allowance_report("probe unanswered")
                # A frozen node would be asked again at once.
                await asyncio.sleep(PROBE_TIMEOUT_S)


def _now() -> float:
    return asyncio.get_running_loop().time()
