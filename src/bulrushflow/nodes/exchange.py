"""Transfer of the member table over framed connections, in pages within a byte budget."""

import asyncio
import bisect
import random
import typing as t

from result import Ok

from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.nodes.composing import MessageComposer
from bulrushflow.nodes.token_bucket import TokenBucket
from bulrushflow.wire import log_codec
from bulrushflow.wire import messages
from bulrushflow.wire.links import Endpoint
from bulrushflow.wire.links import Links

PAGE_MEMBERS = 200
PAGE_TIMEOUT_S = 2.0
FIRST_PAGE_REQUESTS = 3
"""Concurrent requests for the first page, since some addresses may be out of date."""
MAX_PAGE_FAILURES = 8
MAX_BACKOFF_S = 5.0
MAX_REFERRALS = 8
BURST_BYTES = 1_000_000
REFILL_BYTES_PER_S = 16_000.0

MergeGossip = t.Callable[[t.Any, Endpoint | None, bool], None]


class PageBudget:
    """Budget for the bytes of pages that this node serves."""

    __slots__ = ("_bucket",)

    def __init__(self) -> None:
        self._bucket = TokenBucket(REFILL_BYTES_PER_S, BURST_BYTES)

    def try_consume(self, count: int, now: float) -> bool:
        """Consume the bytes of one page; return ``False`` if too few are available."""
        if self._bucket.replenish(now) < count:
            return False
        self._bucket.consume(count)
        return True


class MemberExchange:
    """Serves pages of the member table, and fetches them when this node joins.

    :param merge: merges gossip; called with the gossip, its sender's endpoint if that is known,
        and whether to disseminate the updates.
    """

    def __init__(
        self,
        table: MemberTable,
        links: Links,
        composer: MessageComposer,
        rng: random.Random,
        merge: MergeGossip,
    ) -> None:
        self._table = table
        self._links = links
        self._composer = composer
        self._rng = rng
        self._merge = merge
        self._budget = PageBudget()
        self._sorted_ids: list[str] = []
        self._sorted_version = -1
        self._fetching = False

    async def join(self, endpoints: t.Sequence[Endpoint]) -> bool:
        """Fetch the member table from the first of ``endpoints`` to respond.

        :return: whether a node responded. Members on pages that were not fetched arrive with later
            gossip.
        """
        first = await self._fetch_first(endpoints)
        if first is None:
            return False
        if not self._fetching:
            self._fetching = True
            try:
                await self._fetch_rest(*first)
            finally:
                self._fetching = False
        return True

    async def serve(self, request: t.Any) -> dict[str, t.Any]:
        """Return one page, or a few members to ask instead while the byte budget is used up."""
        self._merge(request.gossip, None, True)
        to_refute = self._updates_to_refute(request.gossip)
        after = request.after or ""
        if not after and request.gossip.digest == self._table.digest():
            return self._page(to_refute, True)
        members = self._members_after(after)
        size = sum(log_codec.member_size(m) for m in members)
        if not self._budget.try_consume(size, asyncio.get_running_loop().time()):
            others = self._table.live_peers()
            referrals = self._rng.sample(others, min(MAX_REFERRALS, len(others)))
            return self._page([*to_refute, *referrals], not after, busy=True)
        next_after = members[-1].node_id if len(members) == PAGE_MEMBERS else None
        return self._page([*to_refute, *members], not after, next_after=next_after)

    def _page(
        self, members: list[Member], with_rollouts: bool, **fields: t.Any
    ) -> dict[str, t.Any]:
        gossip = self._composer.frame_gossip(members, with_rollouts)
        return {"members": messages.Members(gossip=gossip, **fields)}

    def _updates_to_refute(self, gossip: t.Any) -> list[Member]:
        """Return the entry that the requesting node has to refute, compared with its own one."""
        for message in gossip.members or ():
            if message.node_id == gossip.sender:
                current = self._table.update_to_refute(
                    message.node_id, message.incarnation, (message.address, message.peer_port)
                )
                return [current] if current is not None else []
        return []

    def _members_after(self, after: str) -> list[Member]:
        if self._sorted_version != self._table.version:
            self._sorted_ids = sorted(m.node_id for m in self._table.live_members())
            self._sorted_version = self._table.version
        start = bisect.bisect_right(self._sorted_ids, after)
        ids = self._sorted_ids[start : start + PAGE_MEMBERS]
        return [self._table.by_id[i] for i in ids]

    async def _fetch_first(self, endpoints: t.Sequence[Endpoint]) -> tuple[Endpoint, t.Any] | None:
        """Request the first page from a few nodes at once, and return the first response."""
        tasks = {
            asyncio.create_task(self._fetch(endpoint, "")): endpoint
            for endpoint in endpoints[:FIRST_PAGE_REQUESTS]
        }
        pending = set(tasks)
        try:
            while pending:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    if task.result() is not None:
                        return tasks[task], task.result()
            return None
        finally:
            for task in pending:
                task.cancel()

    async def _fetch_rest(self, source: Endpoint, page: t.Any) -> None:
        after = ""
        failures = 0
        while True:
            if page is not None and not page.busy:
                if not page.next_after:
                    return
                after = page.next_after
            else:
                failures += 1
                if failures > MAX_PAGE_FAILURES:
                    return
                cap_s = min(MAX_BACKOFF_S, 0.1 * 2**failures)
                await asyncio.sleep(self._rng.uniform(0, cap_s))
                source = self._another_source(source)
            page = await self._fetch(source, after)

    def _another_source(self, source: Endpoint) -> Endpoint:
        others = [m.endpoint for m in self._table.live_peers() if m.endpoint != source]
        return self._rng.choice(others) if others else source

    async def _fetch(self, endpoint: Endpoint, after: str) -> t.Any:
        request = messages.MembersRequest(
            gossip=self._composer.frame_gossip([self._table.own], False), after=after
        )
        result = await self._links.exchange(endpoint, PAGE_TIMEOUT_S, members_request=request)
        match result:
            case Ok(frame) if frame.members is not None:
                self._merge(frame.members.gossip, endpoint, False)
                return frame.members
            case _:
                return None
