"""Bucket digests, by which two tables find where they differ without exchanging members."""

import struct

import xxhash

from bulrushflow.membership.members import Member

BUCKETS = 256
"""At four bytes a bucket, all digests fit one datagram; 4,800 members make 19 a bucket."""

_WORDS = struct.Struct(f">{BUCKETS}I")


def bucket_of(node_id: str) -> int:
    """Return the number of the bucket that a member belongs to."""
    return xxhash.xxh32_intdigest(node_id.encode()) % BUCKETS


class BucketDigests:
    """One 32-bit digest for each bucket, updated incrementally as members change.

    Digests cover only the id and incarnation of live members, since suspicion changes often.
    """

    __slots__ = ("_ids_by_bucket", "_overall", "_words")

    def __init__(self) -> None:
        self._words = [0] * BUCKETS
        self._ids_by_bucket: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._overall: int | None = None

    def replace(self, old: Member | None, new: Member | None) -> None:
        """Replace a member's old entry by its new one; ``None`` stands for no entry."""
        for member in (old, new):
            if member is None:
                continue
            bucket = bucket_of(member.node_id)
            if member.is_live:
                self._words[bucket] ^= _digest(member)
            if member is new:
                self._ids_by_bucket[bucket].add(member.node_id)
            elif new is None:
                self._ids_by_bucket[bucket].discard(member.node_id)
        self._overall = None

    def ids(self, bucket: int) -> set[str]:
        """Return the ids of the members in a bucket, including dead and left ones."""
        return self._ids_by_bucket[bucket]

    def overall(self) -> int:
        """Return one 32-bit digest of all buckets."""
        if self._overall is None:
            self._overall = xxhash.xxh32_intdigest(self.packed())
        return self._overall

    def packed(self) -> bytes:
        """Return the digests of all buckets as big-endian bytes."""
        return _WORDS.pack(*self._words)

    def differing(self, packed: bytes) -> list[int]:
        """Return the buckets that differ from another table's digests; none if malformed."""
        if len(packed) != _WORDS.size:
            return []
        theirs = _WORDS.unpack(packed)
        return [i for i in range(BUCKETS) if self._words[i] != theirs[i]]


def _digest(member: Member) -> int:
    return xxhash.xxh32_intdigest(f"{member.node_id}/{member.incarnation}".encode())
