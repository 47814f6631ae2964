"""A token bucket for the bytes that this node serves."""


class TokenBucket:
    """Tokens that are replenished at a rate, up to a burst; it starts full.

    :param tokens_per_s: rate of the replenishment.
    :param burst: most tokens that it holds.
    """

    __slots__ = ("_burst", "_replenished_at", "_tokens", "tokens_per_s")

    def __init__(self, tokens_per_s: float, burst: float) -> None:
        self.tokens_per_s = tokens_per_s
        self._burst = burst
        self._tokens = burst
        self._replenished_at: float | None = None

    def replenish(self, now: float) -> float:
        """Add the tokens since the last time; return how many there are.

        :param now: seconds of a monotonic clock.
        """
        if self._replenished_at is not None:
            replenished = (now - self._replenished_at) * self.tokens_per_s
            self._tokens = min(self._burst, self._tokens + replenished)
        self._replenished_at = now
        return self._tokens

    def consume(self, count: float) -> None:
        """Take tokens; below zero they are owed until they are replenished."""
        self._tokens -= count
