"""Bringing the log's records to every node with few readers of the log.

The readers of a data centre push what they read along a tree; whoever misses a push sees a later
version in a datagram or in the other reader's tree, and pulls. Every path ends in the same store.
"""

import asyncio
import random
import typing as t
from collections import OrderedDict

from loguru import logger
from mode import Service

from bulrushflow.configuration import ConfigurationStore
from bulrushflow.configuration import Freshness
from bulrushflow.configuration import LogRecord
from bulrushflow.configuration import Peer
from bulrushflow.exceptions import InvariantError
from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.membership import rank_members
from bulrushflow.metrics import Metrics
from bulrushflow.nodes.log_reader import LogReader
from bulrushflow.nodes.pulling import Puller
from bulrushflow.nodes.pulling import PullResult
from bulrushflow.nodes.pulling import PullServer
from bulrushflow.nodes.push_tree import children
from bulrushflow.nodes.push_tree import parent
from bulrushflow.recording import Log
from bulrushflow.recording import LogPage
from bulrushflow.settings import PlatformSettings
from bulrushflow.timers import Timers
from bulrushflow.wire import codec
from bulrushflow.wire import messages
from bulrushflow.wire.links import Endpoint
from bulrushflow.wire.links import Links

READERS_PER_DATA_CENTRE = 2
TICK_S = 0.25
ROLE_CHECK_S = 1.0
"""Period at which the readers are ranked anew, when no member was added or dropped."""
ALONE_GRACE_S = 2.0
"""A node that has just started and knows no other does not read the log before this."""
REMOTE_POLL_S = 1.0
"""Period at which a reader without the log asks another data centre."""
FIRST_ASK_S = 0.25
MAX_ASK_S = 5.0
SECOND_PUSH_WAIT_S = 0.15
"""How long the second reader gives the first one's records before it sends them itself."""
MAX_PUSH_BYTES = 256 << 10
"""Larger runs of records are only announced, and pulled."""
MAX_ROOTS = 64
_RECORD_BYTES = 48
"""Bytes of a record on a connection besides its body, and of a message, roughly."""

OnBroken = t.Callable[[InvariantError], None]


def _raise(error: InvariantError) -> None:
    raise error


class RecordDissemination(Service):
    """Keeps the store up to date from the log or from peers.

    :param now: seconds on a monotonic clock.
    :param on_broken: told of a broken invariant, upon which the process must stop.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        table: MemberTable,
        log: Log,
        links: Links,
        timers: Timers,
        settings: PlatformSettings,
        rng: random.Random,
        metrics: Metrics | None = None,
        on_invariant_error: OnBroken = _raise,
        now: t.Callable[[], float] | None = None,
    ) -> None:
        super().__init__()
        self.store = store
        self._table = table
        self._links = links
        self._timers = timers
        self._rng = rng
        self._metrics = metrics
        self._on_broken = on_invariant_error
        self._now = now or asyncio.get_running_loop().time
        self._freshness = Freshness(self._now())
        self._reader = LogReader(self, store, log, settings, rng)
        self._puller = Puller(
            store, table, links, rng, self.apply, self._take_answer, self.generation
        )
        self._server = PullServer(
            store,
            self._now,
            lambda: self.caught_up,
            self._reads_log,
            lambda: self._freshness.was_fresh,
            lambda size: self._count_bytes("sent", size),
        )
        self._passed_on_by_root: OrderedDict[str, int] = OrderedDict()
        self._started_at = self._now()
        self._ranked_ids: list[str] = []
        self._ranked_at = self._started_at
        self._ranked_count = 0
        self._ask_at = 0.0
        self._ask_wait_s = FIRST_ASK_S
        self._asking = False
        self._asked_generation = -1
        self._task: asyncio.Task[None] | None = None

    async def on_start(self) -> None:
        self._links.handle("records_request", self._server.serve)
        self._links.handle("records_push", self._take_push)
        self._timers.subscribe("spreading", TICK_S, self._tick)

    async def on_stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    @property
    def caught_up(self) -> bool:
        """Whether the version held is known to be the highest, and nothing holds it up.

        A pause is looked for here, too: after one, calls may be read before any timer runs.
        """
        self._look_for_pause()
        return self._freshness.is_fresh and not self.store.unsupported

    def is_reader(self) -> bool:
        """Tell whether this node reads the log for its data centre."""
        return self._table.own_id in self._reader_ids()

    def note_peer_offset(self, endpoint: Endpoint, offset: int) -> None:
        """Pull what is missing from a node that is known to hold a later version."""
        self._freshness.record_advertised_offset(offset, self._now())
        if self._puller.set_goal(endpoint, offset):
            self.add_future(self._puller.pull_to_goal())

    def is_checking(self) -> bool:
        """See :meth:`LogReaderOwner.is_checking`."""
        return not self._freshness.is_fresh

    def generation(self) -> int:
        """See :meth:`LogReaderOwner.generation`."""
        return self._freshness.generation

    def apply(self, records: t.Iterable[LogRecord]) -> int:
        """Apply records; return how many were new."""
        try:
            return self.store.apply(records)
        except InvariantError as error:
            self._on_broken(error)
            raise

    def handle_page(self, page: LogPage, generation: int) -> None:
        """See :meth:`LogReaderOwner.handle_page`."""
        self._freshness.record_log_offset(generation, page.next_offset - 1)
        self._decide()
        if page.records:
            self._push_own(page.records)

    def handle_log_behind(self, next_offset: int) -> None:
        """See :meth:`LogReaderOwner.handle_log_behind`."""
        logger.error(
            "the log ends at offset {}, below version {}, which stays in force",
            next_offset - 1,
            self.store.current.offset,
        )
        if self._metrics is not None:
            self._metrics.log_behind.inc({})

    def _reader_ids(self) -> list[str]:
        """Return the readers; ranking a large data centre's members on each call costs too much."""
        now = self._now()
        count = len(self._table.by_id)
        if now - self._ranked_at >= ROLE_CHECK_S or count != self._ranked_count:
            near = rank_members(self._near(), "log-reader")
            self._ranked_ids = [member.node_id for member in near[:READERS_PER_DATA_CENTRE]]
            self._ranked_at = now
            self._ranked_count = count
        return self._ranked_ids

    def _near(self) -> list[Member]:
        own = self._table.own
        return [m for m in self._table.live_members() if m.data_centre == own.data_centre]

    async def _tick(self) -> None:
        self._look_for_pause()
        self._check_role()
        self._decide()
        if self._now() >= self._ask_at and not self._asking and self._should_ask():
            self.add_future(self._ask())

    def _look_for_pause(self) -> None:
        if self._freshness.detect_pause(self._now()):
            logger.warning("the process stood still; checking for later versions")
            self._ask_at = 0.0
            self._ask_wait_s = FIRST_ASK_S
            if self._task is not None:
                # Its read may wait long; the next role check starts it again.
                self._task.cancel()

    def _check_role(self) -> None:
        reads = self.is_reader()
        running = self._running()
        if running and not reads and self._task is not None:
            self._task.cancel()
        if reads and not running and not self._waits_for_peers():
            self._task = asyncio.get_running_loop().create_task(self._reader.run())

    def _running(self) -> bool:
        return self._task is not None and not self._task.done()

    def _reads_log(self) -> bool:
        return self._running() and self._reader.failures == 0

    def _waits_for_peers(self) -> bool:
        """Tell whether peers come before the log, which may have lost records that they hold."""
        if not self._table.live_peers():
            return self._now() - self._started_at < ALONE_GRACE_S
        return self._asked_generation != self._freshness.generation

    def _decide(self) -> None:
        if self._freshness.is_fresh:
            return
        own = self._table.own
        others = {Peer(m.node_id, m.data_centre) for m in self._table.live_peers()}
        held = self.store.current.offset
        if self._freshness.evaluate(held, Peer(own.node_id, own.data_centre), others, self._now()):
            logger.info("version {} is current", held)
            self._ask_wait_s = FIRST_ASK_S

    def _should_ask(self) -> bool:
        if self._asked_generation != self._freshness.generation:
            return True
        without_log = not self.is_reader() or self._reader.failures > 0
        if not self._freshness.is_fresh:
            return without_log
        return self.is_reader() and self._reader.failures > 0

    async def _ask(self) -> None:
        """Ask a node in another data centre, and during a check one in this one as well."""
        self._asking = True
        checking = not self._freshness.is_fresh
        generation = self._freshness.generation
        try:
            for near in (True, False) if checking else (False,):
                member = self._puller.pick_peer(near)
                if member is not None:
                    await self._puller.pull(member.endpoint)
        finally:
            self._asking = False
        if self._table.live_peers():
            self._asked_generation = generation
        self._ask_wait_s = min(MAX_ASK_S, 2 * self._ask_wait_s) if checking else REMOTE_POLL_S
        self._ask_at = self._now() + self._rng.uniform(0, self._ask_wait_s)

    def _take_answer(self, answer: PullResult) -> None:
        member = next((m for m in self._table.live_peers() if m.endpoint == answer.endpoint), None)
        if member is not None:
            self._note_answer(Peer(member.node_id, member.data_centre), answer)
        self._decide()
        self._count_bytes("received", answer.received_bytes)
        if answer.new_records > 0 and self.is_reader():
            first_new = self.store.current.offset - answer.new_records + 1
            self._push_own(self.store.records_from(first_new) or ())

    def _note_answer(self, peer: Peer, answer: PullResult) -> None:
        generation = answer.generation
        if answer.fresh:
            self._freshness.record_fresh_peer(generation, peer, answer.offset, answer.reads_log)
        else:
            self._freshness.record_checking_peer(generation, peer, answer.offset, answer.was_fresh)

    def _push_own(self, records: t.Sequence[LogRecord]) -> None:
        """Start this node's tree: the first reader sends records, the other announces them."""
        offset = records[-1].offset if records else self.store.current.offset
        if sum(len(record.body) for record in records) > MAX_PUSH_BYTES:
            records = ()
        if self._reader_ids()[:1] == [self._table.own_id]:
            self._push(records, offset)
        else:
            self.add_future(self._push_as_second(records, offset))

    async def _push_as_second(self, records: t.Sequence[LogRecord], offset: int) -> None:
        """Announce records, or send them when the first reader did not in good time."""
        await asyncio.sleep(SECOND_PUSH_WAIT_S)
        first_id = self._reader_ids()[0]
        pushed = self._passed_on_by_root.get(first_id, -1) >= offset
        self._push(() if pushed else records, offset)

    def _push(self, records: t.Sequence[LogRecord], offset: int) -> None:
        held = [codec.record_to_message(record) for record in records]
        own_id = self._table.own_id
        self._pass_on(messages.RecordsPush(root=own_id, offset=offset, records=held))

    async def _take_push(self, push: t.Any) -> None:
        records = [codec.record_from_message(r) for r in push.records]
        size = _RECORD_BYTES + sum(len(record.body) + _RECORD_BYTES for record in records)
        self._count_bytes("received", size)
        self.apply(records)
        self._decide()
        if push.offset > self.store.current.offset:
            sender = parent(self._near(), push.root, self._table.own_id)
            if sender is not None:
                self.note_peer_offset(sender.endpoint, push.offset)
        self._pass_on(push)

    def _pass_on(self, push: t.Any) -> None:
        if push.offset <= self._passed_on_by_root.get(push.root, -1):
            return
        self._passed_on_by_root[push.root] = push.offset
        self._passed_on_by_root.move_to_end(push.root)
        if len(self._passed_on_by_root) > MAX_ROOTS:
            self._passed_on_by_root.popitem(last=False)
        size = _RECORD_BYTES + sum(len(record.body) + _RECORD_BYTES for record in push.records)
        for member in children(self._near(), push.root, self._table.own_id):
            self._count_bytes("sent", size)
            self.add_future(self._links.send(member.endpoint, records_push=push))

    def _count_bytes(self, direction: str, size: int) -> None:
        if self._metrics is not None:
            self._metrics.count_control_bytes(direction, "records", size)
