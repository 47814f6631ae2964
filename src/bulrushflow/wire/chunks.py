"""Sending of large bodies in chunks, in turns and at the pace of the node's link."""

import asyncio
import heapq
import math
import typing as t

import msgspec

from bulrushflow.wire import messages

MAX_UNSENT_BYTES = 32 << 10
"""Unsent bytes of a connection above which no chunk is added to it. A small response waits behind
these at most, besides one chunk."""
COMPLETION_MARGIN_S = 0.5
"""Time before its deadline by which a body should be sent: grants are on their way, and the origin
node passes the last window on to its caller."""
CHUNK_FRACTION = 0.7
"""Part of the link that chunks may count on. Small responses, requests and records don't wait for
turns and take the rest."""
STALLED_S = 0.2
"""Time without a window after which a body isn't planned for: its caller reads slowly."""
BLOCKED_RECHECK_S = 0.01
"""Time after which connections with too many unsent bytes are looked at again."""


class Pacer(t.Protocol):
    """Decides when the node's link may get the next chunk."""

    @property
    def chunk_bytes(self) -> int:
        """Size of the chunks, in bytes."""

    def record_written(self, size: int, now: float) -> None:
        """Count bytes that were written to any connection."""

    def next_chunk_at(self, now: float) -> float:
        """Return when the next chunk may be written; ``now`` or earlier if it may be at once."""

    def add_waiting(self, size: int) -> None:
        """Count bytes of bodies that wait to be written; negative once they don't any more."""

    def transfer_s(self, size: float) -> float:
        """Return how long the link takes for so many bytes, in seconds."""


class UnpacedLink:
    """A link of unknown bandwidth: chunks wait only for their window and for unsent bytes."""

    __slots__ = ()
    chunk_bytes = 16 << 10

    def record_written(self, size: int, now: float) -> None:
        """See :meth:`Pacer.record_written`."""

    def next_chunk_at(self, now: float) -> float:
        """See :meth:`Pacer.next_chunk_at`."""
        return now

    def add_waiting(self, size: int) -> None:
        """See :meth:`Pacer.add_waiting`."""

    def transfer_s(self, size: float) -> float:
        """See :meth:`Pacer.transfer_s`."""
        return 0.0


class ChunkLink(t.Protocol):
    """A connection that carries chunks."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes in the transport and the kernel that were not sent yet."""

    def send(self, exchange: int = 0, **body: t.Any) -> bool:
        """Send a frame."""


class LoopTimers(t.Protocol):
    """The parts of an event loop by which chunks are timed."""

    def time(self) -> float:
        """Return the time in seconds."""

    def call_at(self, when: float, callback: t.Callable[[], object], /) -> asyncio.TimerHandle:
        """Call back at a time."""


class TransferEnd(msgspec.Struct, frozen=True):
    """How far the sending of a body had come when it ended. Times are in seconds."""

    size: int
    """Length of the whole body, in bytes."""
    sent_bytes: int
    seconds: float
    grant_wait_s: float
    """Time in which the window allowed nothing; the rest was spent on turns of the link."""

    @property
    def complete(self) -> bool:
        """Whether the whole body was sent."""
        return self.sent_bytes == self.size


class OutgoingBody:
    """A body that is being sent as the response to one exchange.

    :param window: bytes that may be sent before the receiver grants more.
    :param on_sent: called once the last chunk was written.
    :param due_at: event loop time after which the body is late.
    :param deadline: event loop time after which nobody takes the body any more.
    """

    __slots__ = (
        "_blocked_since",
        "_grant_wait_s",
        "_started_at",
        "data",
        "deadline",
        "due_at",
        "exchange",
        "link",
        "offset",
        "on_sent",
        "size",
        "window_end",
    )

    def __init__(
        self,
        link: ChunkLink,
        exchange: int,
        data: bytes,
        window: int,
        on_sent: t.Callable[[], None],
        due_at: float = math.inf,
        deadline: float = math.inf,
    ) -> None:
        self.due_at = due_at
        self.deadline = deadline
        self.link = link
        self.exchange = exchange
        self.data = data
        self.size = len(data)
        self.offset = 0
        self.window_end = window
        self.on_sent = on_sent
        self._started_at = math.nan
        self._blocked_since: float | None = None
        """Time since which the window has allowed nothing; ``None`` while it allows bytes."""
        self._grant_wait_s = 0.0

    @property
    def sendable_bytes(self) -> int:
        """Bytes that the window allows to be sent now."""
        return min(self.size, self.window_end) - self.offset

    @property
    def remaining_bytes(self) -> int:
        """Bytes that were not sent yet."""
        return self.size - self.offset

    def start(self, now: float) -> None:
        """Count the times of the transfer from ``now`` on."""
        self._started_at = now
        self.note_window(now)

    def note_window(self, now: float) -> None:
        """Note whether the window allows bytes from ``now`` on."""
        blocked = self.sendable_bytes <= 0 and self.offset < self.size
        if blocked and self._blocked_since is None:
            self._blocked_since = now
        elif not blocked and self._blocked_since is not None:
            self._grant_wait_s += now - self._blocked_since
            self._blocked_since = None

    def is_stalled(self, now: float) -> bool:
        """Return whether the window has allowed nothing for longer than a grant takes."""
        return self._blocked_since is not None and now - self._blocked_since > STALLED_S

    def end(self, now: float) -> TransferEnd:
        """Return how far the body was sent."""
        waiting_s = 0.0 if self._blocked_since is None else now - self._blocked_since
        return TransferEnd(
            self.size, self.offset, now - self._started_at, self._grant_wait_s + waiting_s
        )

    def urgency(self, now: float) -> tuple[bool, float]:
        """Return the sort key of bodies: the one that is due first, then those that are late."""
        return now >= self.due_at, self.due_at


class DeadlinePlan(msgspec.Struct, frozen=True):
    """Which bodies have to go first to be complete by their deadlines, and which can't be."""

    urgent_until: float
    """Bodies with deadlines up to this event loop time have none to spare."""
    impossible: frozenset[OutgoingBody]

    def rank(self, body: OutgoingBody, now: float) -> tuple[int, bool, float]:
        """Return the sort key of bodies by their turns."""
        if body in self.impossible:
            return 2, *body.urgency(now)
        if body.deadline <= self.urgent_until:
            return 0, False, body.deadline
        return 1, *body.urgency(now)


def plan_deadlines(bodies: t.Iterable[OutgoingBody], pacer: Pacer, now: float) -> DeadlinePlan:
    """Return the plan by which most of the bodies are complete by their deadlines.

    The earliest deadline goes first. Where bodies don't fit before a deadline, those with most
    bytes left are dropped from the plan (Moore-Hodgson), so that one can't take the others with it;
    of them first those that haven't begun, which can still become a refusal.

    :param now: event loop time.
    """
    urgent_until = -math.inf
    total_bytes = 0
    droppable: list[tuple[bool, int, int, OutgoingBody]] = []
    impossible: set[OutgoingBody] = set()
    planned = [body for body in bodies if body.deadline < math.inf and not body.is_stalled(now)]
    for number, body in enumerate(sorted(planned, key=lambda body: body.deadline)):
        total_bytes += body.remaining_bytes
        heapq.heappush(droppable, (body.offset > 0, -body.remaining_bytes, number, body))
        while droppable and now + pacer.transfer_s(total_bytes) > body.deadline:
            *_, dropped = heapq.heappop(droppable)
            total_bytes -= dropped.remaining_bytes
            impossible.add(dropped)
        needed_s = pacer.transfer_s(total_bytes) / CHUNK_FRACTION + COMPLETION_MARGIN_S
        if now + needed_s > body.deadline:
            urgent_until = body.deadline
    return DeadlinePlan(urgent_until, frozenset(impossible))


class ChunkSender:
    """Sends the bodies of all connections of a node in turns, at the pace of the node's link.

    The body that is due first goes first: with equal shares all would be late together when the
    link is busy. Bodies that are late already, or equally urgent, take turns. Before all of them go
    those that would not be complete by their deadline otherwise: on a busy link there is always one
    that isn't late yet, so that those that are late would wait until their callers leave.

    :param timers: the event loop; by default the one that runs when the first body is sent.
    """

    def __init__(self, pacer: Pacer, timers: LoopTimers | None = None) -> None:
        self._pacer = pacer
        self._timers = timers
        self._turns: list[OutgoingBody] = []
        """Bodies whose window allows a chunk; those that waited longest since their last one first.
        """
        self._timer: asyncio.TimerHandle | None = None
        self._bodies: set[OutgoingBody] = set()
        self._latest_deadline = math.inf

    @property
    def count(self) -> int:
        """Number of bodies that are being sent."""
        return len(self._bodies)

    def record_written(self, size: int) -> None:
        """Count bytes that a connection wrote, chunks and others."""
        self._pacer.record_written(size, self._loop().time())

    def start(self, body: OutgoingBody) -> None:
        """Begin to send a body, which takes its turns from now on."""
        self._bodies.add(body)
        body.deadline = min(body.deadline, self._latest_deadline)
        body.start(self._loop().time())
        self._pacer.add_waiting(len(body.data))
        if body.sendable_bytes > 0:
            self._turns.append(body)
        self._send_due()

    def limit_deadlines(self, deadline: float) -> None:
        """Move the deadlines of all bodies to a time if they are later, of further ones too."""
        self._latest_deadline = deadline
        for body in self._bodies:
            body.deadline = min(body.deadline, deadline)

    def stop(self, body: OutgoingBody) -> None:
        """Send no more of a body, and release it."""
        if body not in self._bodies:
            return
        self._bodies.remove(body)
        if body in self._turns:
            self._turns.remove(body)
        self._pacer.add_waiting(body.offset - len(body.data))
        body.data = b""

    def grant(self, body: OutgoingBody, size: int) -> None:
        """Enlarge a body's window by ``size`` bytes."""
        waited = body.sendable_bytes <= 0
        body.window_end += size
        body.note_window(self._loop().time())
        if waited and body.sendable_bytes > 0 and body in self._bodies:
            self._turns.append(body)
            self._send_due()

    def _loop(self) -> LoopTimers:
        if self._timers is None:
            self._timers = asyncio.get_running_loop()
        return self._timers

    def _send_due(self) -> None:
        """Send the chunks that are due, and set the timer for the next one."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        loop = self._loop()
        while self._turns:
            now = loop.time()
            chunk_at = self._pacer.next_chunk_at(now)
            if chunk_at > now:
                self._timer = loop.call_at(chunk_at, self._send_due)
                return
            body = self._next_body(now)
            if body is None:
                break
            self._turns.remove(body)
            self._send_chunk(body)
        if self._turns:
            self._timer = loop.call_at(loop.time() + BLOCKED_RECHECK_S, self._send_due)

    def _next_body(self, now: float) -> OutgoingBody | None:
        """Return the body whose turn it is among those whose connection takes a chunk."""
        ready = [body for body in self._turns if body.link.unsent_bytes <= MAX_UNSENT_BYTES]
        if not ready:
            return None
        plan = plan_deadlines(self._bodies, self._pacer, now)
        return min(ready, key=lambda body: plan.rank(body, now))

    def _send_chunk(self, body: OutgoingBody) -> None:
        size = min(self._pacer.chunk_bytes, body.sendable_bytes)
        chunk = body.data[body.offset : body.offset + size]
        body.offset += size
        self._pacer.add_waiting(-size)
        body.link.send(exchange=body.exchange, body_chunk=messages.BodyChunk(data=chunk))
        body.note_window(self._loop().time())
        if body.offset == len(body.data):
            self.stop(body)
            body.on_sent()
        elif body.sendable_bytes > 0:
            self._turns.append(body)
