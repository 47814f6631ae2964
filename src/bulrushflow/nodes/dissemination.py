"""Dissemination of the log's records to every node, with few nodes reading the log.

The readers of a data centre push new records along a tree. A node that misses a push learns of the
later version from a datagram or from the other reader's tree, and pulls the records.
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
from bulrushflow.wire import log_codec
from bulrushflow.wire import messages
from bulrushflow.wire.links import Endpoint
from bulrushflow.wire.links import Links

READERS_PER_DATA_CENTRE = 2
TICK_S = 0.25
RANKING_PERIOD_S = 1.0
"""Period at which readers are ranked again if the number of members stays the same."""
NO_PEERS_GRACE_S = 2.0
"""Time after the start before which a node without live peers does not read the log."""
REMOTE_POLL_S = 1.0
"""Longest time between pulls from another data centre by a reader that can't read the log."""
FIRST_PULL_WAIT_S = 0.25
MAX_PULL_WAIT_S = 5.0
SECOND_PUSH_WAIT_S = 0.15
"""Time the second reader waits for the first reader's push before it sends records itself."""
MAX_PUSH_BYTES = 256 << 10
"""Larger batches are announced by their offset only, and pulled."""
MAX_TREES = 64
_RECORD_OVERHEAD_BYTES = 48
"""Approximate bytes of a record on a connection besides its body, and of a message."""

OnInvariantError = t.Callable[[InvariantError], None]


def _raise(error: InvariantError) -> None:
    raise error


class RecordDissemination(Service):
    """Keeps the store up to date from the log or from peers.

    :param on_invariant_error: called with a violated invariant; the process must then stop.
    :param now: seconds on a monotonic clock.
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
        on_invariant_error: OnInvariantError = _raise,
        now: t.Callable[[], float] | None = None,
    ) -> None:
        super().__init__()
        self.store = store
        self._table = table
        self._links = links
        self._timers = timers
        self._rng = rng
        self._metrics = metrics
        self._on_invariant_error = on_invariant_error
        self._now = now or asyncio.get_running_loop().time
        self._freshness = Freshness(self._now())
        self._reader = LogReader(self, store, log, settings, rng)
        self._puller = Puller(
            store, table, links, rng, self.apply, self._handle_pull_result, self.generation
        )
        self._server = PullServer(
            store,
            self._now,
            lambda: self.caught_up,
            self._reads_log,
            lambda: self._freshness.was_fresh,
            lambda size: self._count_bytes("sent", size),
        )
        self._forwarded_offset_by_root: OrderedDict[str, int] = OrderedDict()
        self._started_at = self._now()
        self._ranked_ids: list[str] = []
        self._ranked_at = self._started_at
        self._ranked_count = 0
        self._pull_at = 0.0
        self._pull_wait_s = FIRST_PULL_WAIT_S
        self._pulling = False
        self._pulled_generation = -1
        self._reader_task: asyncio.Task[None] | None = None

    async def on_start(self) -> None:
        self._links.handle("records_request", self._server.serve)
        self._links.handle("records_push", self._handle_push)
        self._timers.subscribe("spreading", TICK_S, self._tick)

    async def on_stop(self) -> None:
        if self._reader_task is not None:
            self._reader_task.cancel()

    @property
    def caught_up(self) -> bool:
        """Whether the current version is known to be the latest, and all its records are supported.

        Checks for a pause of the process, too, since calls may be read before any timer runs.
        """
        self._detect_pause()
        return self._freshness.is_fresh and not self.store.unsupported

    def is_reader(self) -> bool:
        """Return whether this node reads the log for its data centre."""
        return self._table.own_id in self._reader_ids()

    def note_peer_offset(self, endpoint: Endpoint, offset: int) -> None:
        """Note the version that a peer has, and pull the missing records if it is later."""
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
            self._on_invariant_error(error)
            raise

    def handle_page(self, page: LogPage, generation: int) -> None:
        """See :meth:`LogReaderOwner.handle_page`."""
        self._freshness.record_log_offset(generation, page.next_offset - 1)
        self._evaluate_freshness()
        if page.records:
            self._push_as_root(page.records)

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
        """Return the ids of this data centre's readers, first reader first.

        The ranking is cached, since ranking a large data centre on each call costs too much.
        """
        now = self._now()
        count = len(self._table.by_id)
        if now - self._ranked_at >= RANKING_PERIOD_S or count != self._ranked_count:
            ranked = rank_members(self._local_members(), "log-reader")
            self._ranked_ids = [member.node_id for member in ranked[:READERS_PER_DATA_CENTRE]]
            self._ranked_at = now
            self._ranked_count = count
        return self._ranked_ids

    def _local_members(self) -> list[Member]:
        own = self._table.own
        return [m for m in self._table.live_members() if m.data_centre == own.data_centre]

    async def _tick(self) -> None:
        self._detect_pause()
        self._update_reader_task()
        self._evaluate_freshness()
        if self._now() >= self._pull_at and not self._pulling and self._should_pull():
            self.add_future(self._pull_from_peers())

    def _detect_pause(self) -> None:
        if self._freshness.detect_pause(self._now()):
            logger.warning("the process stood still; checking for later versions")
            self._pull_at = 0.0
            self._pull_wait_s = FIRST_PULL_WAIT_S
            if self._reader_task is not None:
                # Its long poll may still be waiting; a later timer tick restarts the reader.
                self._reader_task.cancel()

    def _update_reader_task(self) -> None:
        should_read = self.is_reader()
        running = self._reader_running()
        if running and not should_read and self._reader_task is not None:
            self._reader_task.cancel()
        if should_read and not running and not self._waits_for_peers():
            self._reader_task = asyncio.get_running_loop().create_task(self._reader.run())

    def _reader_running(self) -> bool:
        return self._reader_task is not None and not self._reader_task.done()

    def _reads_log(self) -> bool:
        return self._reader_running() and self._reader.failures == 0

    def _waits_for_peers(self) -> bool:
        """Return whether to pull from peers before reading the log.

        The log may have lost records that the peers still have.
        """
        if not self._table.live_peers():
            return self._now() - self._started_at < NO_PEERS_GRACE_S
        return self._pulled_generation != self._freshness.generation

    def _evaluate_freshness(self) -> None:
        if self._freshness.is_fresh:
            return
        own = self._table.own
        others = {Peer(m.node_id, m.data_centre) for m in self._table.live_peers()}
        version = self.store.current.offset
        if self._freshness.evaluate(
            version, Peer(own.node_id, own.data_centre), others, self._now()
        ):
            logger.info("version {} is current", version)
            self._pull_wait_s = FIRST_PULL_WAIT_S

    def _should_pull(self) -> bool:
        if self._pulled_generation != self._freshness.generation:
            return True
        without_log = not self.is_reader() or self._reader.failures > 0
        if not self._freshness.is_fresh:
            return without_log
        return self.is_reader() and self._reader.failures > 0

    async def _pull_from_peers(self) -> None:
        """Pull from a node in another data centre, and during a check from a local one as well."""
        self._pulling = True
        checking = not self._freshness.is_fresh
        generation = self._freshness.generation
        try:
            for same_data_centre in (True, False) if checking else (False,):
                member = self._puller.pick_peer(same_data_centre)
                if member is not None:
                    await self._puller.pull(member.endpoint)
        finally:
            self._pulling = False
        if self._table.live_peers():
            self._pulled_generation = generation
        self._pull_wait_s = (
            min(MAX_PULL_WAIT_S, 2 * self._pull_wait_s) if checking else REMOTE_POLL_S
        )
        self._pull_at = self._now() + self._rng.uniform(0, self._pull_wait_s)

    def _handle_pull_result(self, result: PullResult) -> None:
        member = next((m for m in self._table.live_peers() if m.endpoint == result.endpoint), None)
        if member is not None:
            self._record_pull_result(Peer(member.node_id, member.data_centre), result)
        self._evaluate_freshness()
        self._count_bytes("received", result.received_bytes)
        if result.new_records > 0 and self.is_reader():
            first_new = self.store.current.offset - result.new_records + 1
            self._push_as_root(self.store.records_from(first_new) or ())

    def _record_pull_result(self, peer: Peer, result: PullResult) -> None:
        generation = result.generation
        if result.fresh:
            self._freshness.record_fresh_peer(generation, peer, result.offset, result.reads_log)
        else:
            self._freshness.record_checking_peer(generation, peer, result.offset, result.was_fresh)

    def _push_as_root(self, records: t.Sequence[LogRecord]) -> None:
        """Push along this node's own tree.

        The first reader sends the records; the second one announces their offset.
        """
        offset = records[-1].offset if records else self.store.current.offset
        if sum(len(record.body) for record in records) > MAX_PUSH_BYTES:
            records = ()
        if self._reader_ids()[:1] == [self._table.own_id]:
            self._push(records, offset)
        else:
            self.add_future(self._push_as_second(records, offset))

    async def _push_as_second(self, records: t.Sequence[LogRecord], offset: int) -> None:
        """Announce records, or send them if the first reader's push has not arrived in time."""
        await asyncio.sleep(SECOND_PUSH_WAIT_S)
        first_reader_id = self._reader_ids()[0]
        pushed = self._forwarded_offset_by_root.get(first_reader_id, -1) >= offset
        self._push(() if pushed else records, offset)

    def _push(self, records: t.Sequence[LogRecord], offset: int) -> None:
        encoded = [log_codec.record_to_message(record) for record in records]
        own_id = self._table.own_id
        self._forward_push(messages.RecordsPush(root=own_id, offset=offset, records=encoded))

    async def _handle_push(self, push: t.Any) -> None:
        records = [log_codec.record_from_message(r) for r in push.records]
        size = _RECORD_OVERHEAD_BYTES + sum(
            len(record.body) + _RECORD_OVERHEAD_BYTES for record in records
        )
        self._count_bytes("received", size)
        self.apply(records)
        self._evaluate_freshness()
        if push.offset > self.store.current.offset:
            sender = parent(self._local_members(), push.root, self._table.own_id)
            if sender is not None:
                self.note_peer_offset(sender.endpoint, push.offset)
        self._forward_push(push)

    def _forward_push(self, push: t.Any) -> None:
        if push.offset <= self._forwarded_offset_by_root.get(push.root, -1):
            return
        self._forwarded_offset_by_root[push.root] = push.offset
        self._forwarded_offset_by_root.move_to_end(push.root)
        if len(self._forwarded_offset_by_root) > MAX_TREES:
            self._forwarded_offset_by_root.popitem(last=False)
        size = _RECORD_OVERHEAD_BYTES + sum(
            len(record.body) + _RECORD_OVERHEAD_BYTES for record in push.records
        )
        for member in children(self._local_members(), push.root, self._table.own_id):
            self._count_bytes("sent", size)
            self.add_future(self._links.send(member.endpoint, records_push=push))

    def _count_bytes(self, direction: str, size: int) -> None:
        if self._metrics is not None:
            self._metrics.count_control_bytes(direction, "records", size)
