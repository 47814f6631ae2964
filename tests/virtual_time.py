"""An event loop whose clock jumps to the next timer, so that long loads are replayed at once."""

import asyncio
import selectors
import typing as t

START_S = 1_000.0


class _JumpingSelector(selectors.DefaultSelector):
    """Moves the clock on instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = START_S

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("the loop waits for something that no timer brings")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, for code without I/O."""

    def __init__(self) -> None:
        self._clock = _JumpingSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._clock.now


class VirtualClock:
    """The clock of a node on a :class:`VirtualTimeLoop`."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def wall_ms(self) -> int:
        return int(asyncio.get_running_loop().time() * 1000)


def run_virtually(main: t.Coroutine[t.Any, t.Any, None]) -> None:
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(main)
