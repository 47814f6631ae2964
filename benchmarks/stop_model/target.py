"""A target beside a node: runs each call for its time, all at once."""

import asyncio
import typing as t

from benchmarks.stop_model.ledger import CallEntry
from benchmarks.stop_model.scenario import Download
from bulrushflow.placement import WorkReport
from bulrushflow.routing import Call
from bulrushflow.routing import CallResult
from bulrushflow.routing import Response
from bulrushflow.sidecar.model import NamedLimit

_BODY = bytes(1 << 20)


class Target:
    """What the product's forwarding needs of the admission to a target."""

    capacity = 64
    cold_ms: int | None = None

    def __init__(self, downloads: t.Sequence[Download], entries: dict[str, CallEntry]) -> None:
        self._downloads = downloads
        self._entries_by_id = entries
        self.in_flight = 0

    @property
    def load(self) -> float:
        """Calls that run."""
        return float(self.in_flight)

    def refusal(self, call: Call) -> str | None:
        """Refuse no call."""
        return None

    def work_report(self, route: str) -> WorkReport | None:
        """Report no work."""
        return None

    def apply_named_limit(self, limit: NamedLimit) -> None:
        """Ignore limits."""

    async def run(self, call: Call) -> CallResult:
        """Run a call, and return its whole response."""
        loop = asyncio.get_running_loop()
        entry = self._entries_by_id[call.request_id]
        download = self._downloads[int(call.request_id)]
        entry.passed_on_at = entry.passed_on_at or loop.time()
        entry.running += 1
        self.in_flight += 1
        try:
            await asyncio.sleep(download.run_s)
            entry.finished_at = loop.time()
            return Response(200, (), _BODY[: download.size]).as_result()
        except asyncio.CancelledError:
            entry.broken_off = True
            raise
        finally:
            entry.running -= 1
            self.in_flight -= 1
