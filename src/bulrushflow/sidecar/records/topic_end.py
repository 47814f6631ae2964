"""What is known of the end of a store topic, from the store and from other nodes."""


class TopicEnd:
    """The offset at which a topic is known to end.

    The store's responses are authoritative for the time of the request. Other nodes name the offset
    that they have read to, which may be later than a response that is still on its way.
    """

    __slots__ = ("_denied", "_noted", "offset")

    def __init__(self) -> None:
        self.offset = 0
        """Offset that the next record gets, as far as is known."""
        self._noted = 0
        """Latest offset that another node named since the pending request was sent."""
        self._denied: int | None = None
        """Offset that another node named, but the store's later response did not reach."""

    def begin_request(self) -> None:
        """Note that a request for the topic's records is sent to the store."""
        self._noted = 0

    def note(self, offset: int) -> bool:
        """Note an offset that another node has read to; return whether it moves the end.

        An offset from the one on that the store has denied is ignored.
        """
        if self._denied is not None and offset >= self._denied:
            return False
        self._noted = max(self._noted, offset)
        if offset <= self.offset:
            return False
        self.offset = offset
        return True

    def update(self, end: int) -> None:
        """Take over the end in a response, unless another node named a later one since its request.

        An earlier one than other nodes named before the request denies what they named.
        """
        if end < self.offset and self.offset > self._noted:
            self._denied = self.offset
        elif self._denied is not None and end >= self._denied:
            self._denied = None
        self.offset = max(end, self._noted)
