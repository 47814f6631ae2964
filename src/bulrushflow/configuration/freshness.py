"""Check that the applied version is the highest one that the log or peers report."""

import typing as t

import msgspec

PAUSE_THRESHOLD_S = 2.0
"""A longer gap between two clock readings means that the process was paused."""
MIN_FRESH_PEERS = 2
MIN_DATA_CENTRES = 2
ADVERTISED_OFFSET_TTL_S = 10.0
"""How long an advertised version delays readiness; the node that has it may be gone."""
LOG_READER_ACCEPTED_AFTER_S = 2.0
"""After this time in a check, one fresh peer that reads the log is accepted in place of the log."""
MIN_CHECKING_PEERS = 5
CHECKING_PEERS_ACCEPTED_AFTER_S = 5.0
"""After this time in a check, peers that are in one too suffice, as all may have been paused."""


class Peer(msgspec.Struct, frozen=True):
    """Another node and its data centre."""

    node_id: str
    data_centre: str


class Freshness:
    """Collects the offsets that the log and peers report in a check, and decides when it ends.

    A check begins at the start and after each pause. Responses to requests that were sent before
    it began are ignored; callers pass the ``generation`` in which the request was sent.

    :param now: seconds on a monotonic clock.
    """

    __slots__ = (
        "_advertised_at",
        "_advertised_offset",
        "_check_began_at",
        "_fresh_offset_by_peer",
        "_last_reading_at",
        "_log_offset",
        "_log_reader_offset",
        "_offset_by_peer",
        "generation",
        "is_fresh",
        "was_fresh",
    )

    def __init__(self, now: float) -> None:
        self.is_fresh = False
        self.was_fresh = False
        """Whether a check has ended since the start, here or on a peer that reported so."""
        self.generation = 0
        self._offset_by_peer: dict[Peer, int] = {}
        self._last_reading_at = now
        self._check_began_at = now
        self._log_reader_offset: int | None = None
        self._log_offset: int | None = None
        self._fresh_offset_by_peer: dict[Peer, int] = {}
        self._advertised_offset = -1
        self._advertised_at = now

    def detect_pause(self, now: float) -> bool:
        """Record a clock reading; return whether it shows a pause, which begins a check."""
        gap_s = now - self._last_reading_at
        self._last_reading_at = now
        if gap_s <= PAUSE_THRESHOLD_S:
            return False
        self.begin_check()
        return True

    def begin_check(self) -> None:
        """Discard all reports except the advertised version, and wait for new ones."""
        self.is_fresh = False
        self.generation += 1
        self._check_began_at = self._last_reading_at
        self._log_offset = None
        self._log_reader_offset = None
        self._fresh_offset_by_peer.clear()
        self._offset_by_peer.clear()

    def record_log_offset(self, generation: int, last_offset: int) -> None:
        """Record the highest offset on the log."""
        if generation == self.generation:
            self._log_offset = last_offset

    def record_fresh_peer(
        self, generation: int, peer: Peer, offset: int, reads_log: bool = False
    ) -> None:
        """Record the version of a peer that is fresh itself.

        :param reads_log: whether the peer's last read of the log succeeded.
        """
        if generation != self.generation:
            return
        self._fresh_offset_by_peer[peer] = max(offset, self._fresh_offset_by_peer.get(peer, -1))
        self._offset_by_peer[peer] = offset
        self.was_fresh = True
        if reads_log:
            self._log_reader_offset = offset

    def record_checking_peer(
        self, generation: int, peer: Peer, offset: int, was_fresh: bool
    ) -> None:
        """Record the version of a peer that is in a check itself.

        :param was_fresh: whether the peer, or one that reported to it, has ever ended a check.
        """
        if generation == self.generation:
            self._offset_by_peer[peer] = offset
            self.was_fresh = self.was_fresh or was_fresh

    def record_advertised_offset(self, offset: int, now: float) -> None:
        """Record a version that some node is said to have."""
        if offset >= self._advertised_offset or now - self._advertised_at > ADVERTISED_OFFSET_TTL_S:
            self._advertised_offset = offset
            self._advertised_at = now

    def evaluate(
        self, applied_offset: int, own: Peer, others: t.Collection[Peer], now: float
    ) -> bool:
        """End the check if enough was reported and no report exceeds the applied version.

        :param others: the live peers.
        :return: whether the node is fresh.
        """
        if self.is_fresh:
            return True
        if not self._has_enough_reports(own, others, now):
            return False
        highest = max(self._offset_by_peer.values(), default=-1)
        if self._log_offset is not None:
            highest = max(highest, self._log_offset)
        if now - self._advertised_at <= ADVERTISED_OFFSET_TTL_S:
            highest = max(highest, self._advertised_offset)
        self.is_fresh = applied_offset >= highest
        self.was_fresh = self.was_fresh or self.is_fresh
        return self.is_fresh

    def _has_enough_reports(self, own: Peer, others: t.Collection[Peer], now: float) -> bool:
        if self._log_offset is not None or self._has_enough_fresh_peers(own, others):
            return True
        # With too few fresh peers, nodes would wait for each other forever.
        check_s = now - self._check_began_at
        if check_s >= LOG_READER_ACCEPTED_AFTER_S and self._log_reader_offset is not None:
            return True
        reporting = sum(1 for peer in self._offset_by_peer if peer in others)
        many = reporting >= max(1, min(MIN_CHECKING_PEERS, len(others)))
        return many and self.was_fresh and check_s >= CHECKING_PEERS_ACCEPTED_AFTER_S

    def _has_enough_fresh_peers(self, own: Peer, others: t.Collection[Peer]) -> bool:
        fresh = [peer for peer in self._fresh_offset_by_peer if peer in others]
        if not fresh or len(fresh) < min(MIN_FRESH_PEERS, len(others)):
            return False
        if all(peer.data_centre == own.data_centre for peer in others):
            return True
        data_centres = {peer.data_centre for peer in others}
        needed = min(MIN_DATA_CENTRES, len(data_centres))
        return len({peer.data_centre for peer in fresh}) >= needed
