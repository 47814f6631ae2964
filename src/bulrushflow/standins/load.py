"""The load tool: seeded open-loop calls, and a comparison of responses with the targets' runs."""

import asyncio
import random
import sys
import time
import typing as t
import urllib.parse
from dataclasses import dataclass
from dataclasses import field

import aiohttp
import cappa
import msgspec
from hdrh.histogram import HdrHistogram

from bulrushflow.standins.target import Run
from bulrushflow.standins.target import digest
from bulrushflow.targets.client import NOT_RUN_VALUE
from bulrushflow.targets.client import OUTCOME_HEADER
from bulrushflow.targets.client import REQUEST_ID_HEADER
from bulrushflow.targets.client import TENANT_HEADER

HIGHEST_LATENCY_US = 60_000_000
SIGNIFICANT_FIGURES = 3
CALL_TIMEOUT_S = 15.0
LATE_SEND_S = 0.005
BUSY_WAIT_S = 0.0015
"""The event loop wakes up to 1 ms late, so a wait ends by polling the clock, not by sleeping."""
TENANTS = ("members", "stewards", "treasurer")


class Summary(msgspec.Struct):
    """Counts of the callers' responses, compared with the runs that the targets recorded.

    ``lost``: no response and no outcome header. ``doubled``: a non-idempotent call that ran more
    than once. ``crossed``: another call's response. ``cut``: an incomplete response.
    ``false_not_run``: refused as not run, although a target ran it.
    """

    seed: int
    calls: int = 0
    answered: int = 0
    errors: int = 0
    not_run: int = 0
    unknown: int = 0
    lost: int = 0
    doubled: int = 0
    doubled_calls: list[str] = []
    """Id and path of each doubled call."""
    repeated: int = 0
    """POST calls on paths declared idempotent that ran more than once, which is allowed."""
    crossed: int = 0
    cut: int = 0
    false_not_run: int = 0
    unreachable: int = 0
    """Those of the lost calls whose connection was refused."""
    in_time: int = 0
    """Calls that succeeded within the tool's time limit."""
    late_sends: int = 0
    """Calls that the tool sent more than 5 ms late; many of them make the figures unusable."""
    p50_ms: float = 0.0
    p90_ms: float = 0.0
    p99_ms: float = 0.0
    answered_by_version: dict[str, int] = {}

    def has_failures(self) -> bool:
        """Return whether any call was lost, doubled, crossed, cut or falsely refused as not run."""
        return bool(self.lost + self.doubled + self.crossed + self.cut + self.false_not_run)


class Digests(t.NamedTuple):
    """Digests of a call's body and of its response's body."""

    body: str
    answer: str


@dataclass(slots=True)
class Calls:
    """The results of one run of the tool."""

    summary: Summary
    histogram: HdrHistogram
    """Latencies in microseconds of every call with a response or an outcome header."""
    answered_histogram: HdrHistogram
    """Latencies in microseconds of the calls that succeeded."""
    not_run_ids: set[str] = field(default_factory=set)
    posted_path_by_id: dict[str, str] = field(default_factory=dict)
    digests_by_id: dict[str, Digests] = field(default_factory=dict)
    """Digests of the calls that got a target's response."""


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """One call, with its send time on the monotonic clock."""

    request_id: str
    method: str
    url: str
    body: bytes
    tenant: str
    due_at: float


async def run_load(
    nodes: list[str],
    paths: list[str],
    rate: float,
    seconds: float,
    seed: int,
    timeout_s: float = CALL_TIMEOUT_S,
    round_robin: bool = False,
) -> Calls:
    """Send calls at a fixed mean rate, independent of the response times.

    Latency counts from the time that a call was due, so that a delayed send can't hide a wait.

    :param rate: calls per second over all nodes.
    :param timeout_s: time limit of one call, after which its caller disconnects.
    :param round_robin: use the nodes in turn instead of at random.
    """
    rng = random.Random(seed)
    calls = Calls(Summary(seed), _histogram(), _histogram())
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    tasks: set[asyncio.Task[None]] = set()
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        started_at = time.monotonic()
        due_s = 0.0
        number = 0
        while due_s < seconds:
            due_s += rng.expovariate(rate)
            due_at = started_at + due_s
            await _sleep_until(due_at)
            number += 1
            node = nodes[number % len(nodes)] if round_robin else rng.choice(nodes)
            method = rng.choice(["GET", "POST"])
            call = PlannedCall(
                request_id=f"{seed}-{number}",
                method=method,
                url=node.rstrip("/") + rng.choice(paths),
                body=rng.randbytes(64) if method == "POST" else b"",
                tenant=rng.choice(TENANTS),
                due_at=due_at,
            )
            task = asyncio.create_task(_send(session, calls, call, timeout_s))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
    summary = calls.summary
    summary.p50_ms = calls.histogram.get_value_at_percentile(50) / 1000
    summary.p90_ms = calls.histogram.get_value_at_percentile(90) / 1000
    summary.p99_ms = calls.histogram.get_value_at_percentile(99) / 1000
    return calls


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, HIGHEST_LATENCY_US, SIGNIFICANT_FIGURES)


async def _sleep_until(due_at: float) -> None:
    remaining_s = due_at - time.monotonic()
    if remaining_s > BUSY_WAIT_S:
        await asyncio.sleep(remaining_s - BUSY_WAIT_S)
    while time.monotonic() < due_at:  # noqa: ASYNC110, there is no event to wait for
        await asyncio.sleep(0)


async def _send(
    session: aiohttp.ClientSession, calls: Calls, call: PlannedCall, timeout_s: float
) -> None:
    summary = calls.summary
    summary.calls += 1
    if call.method == "POST":
        calls.posted_path_by_id[call.request_id] = urllib.parse.urlsplit(call.url).path
    headers = {REQUEST_ID_HEADER: call.request_id, TENANT_HEADER: call.tenant}
    if time.monotonic() - call.due_at > LATE_SEND_S:
        summary.late_sends += 1
    try:
        async with (
            asyncio.timeout(timeout_s),
            session.request(call.method, call.url, data=call.body, headers=headers) as response,
        ):
            body = await response.read()
    except aiohttp.ClientPayloadError:
        summary.cut += 1
        return
    except (TimeoutError, aiohttp.ClientError, OSError) as exc:
        summary.lost += 1
        summary.unreachable += isinstance(exc, aiohttp.ClientConnectorError)
        return
    seconds = time.monotonic() - call.due_at
    calls.histogram.record_value(max(1, int(seconds * 1_000_000)))
    outcome = response.headers.get(OUTCOME_HEADER)
    if outcome == NOT_RUN_VALUE:
        summary.not_run += 1
        calls.not_run_ids.add(call.request_id)
    elif outcome is not None:
        summary.unknown += 1
    elif _check_response(calls, call, response.status, body):
        calls.answered_histogram.record_value(max(1, int(seconds * 1_000_000)))
        if seconds <= timeout_s:
            summary.in_time += 1


def _check_response(calls: Calls, call: PlannedCall, status: int, body: bytes) -> bool:
    """Count a response; return whether it is complete, the call's own and a success."""
    summary = calls.summary
    try:
        fields = msgspec.json.decode(body, type=dict[str, str])
    except msgspec.DecodeError:
        summary.cut += 1
        return False
    expected = (call.request_id, digest(call.body), call.tenant)
    if (fields.get("request_id"), fields.get("body_digest"), fields.get("tenant")) != expected:
        summary.crossed += 1
        return False
    calls.digests_by_id[call.request_id] = Digests(digest(call.body), digest(body))
    version = f"{fields.get('service')}/{fields.get('version')}"
    summary.answered_by_version[version] = summary.answered_by_version.get(version, 0) + 1
    if status >= 500:
        summary.errors += 1
        return False
    summary.answered += 1
    return True


async def compare_runs(
    calls: Calls, targets: list[str], idempotent_paths: t.Sequence[str] = ()
) -> None:
    """Count doubled calls, calls refused as not run that ran, and responses of no recorded run.

    Responses to calls without any recorded run are skipped, since the runs of a target that has
    ended can't be read.

    :param targets: URLs of the targets whose runs are read.
    :param idempotent_paths: prefixes of paths where a call may run more than once.
    """
    runs_by_id: dict[str, list[Digests]] = {}
    async with aiohttp.ClientSession() as session:
        for target in targets:
            async with session.get(target.rstrip("/") + "/control/runs") as response:
                runs = msgspec.json.decode(await response.read(), type=list[Run])
            for run in runs:
                run_digests = Digests(run.body_digest, run.answer_digest)
                runs_by_id.setdefault(run.request_id, []).append(run_digests)
    summary = calls.summary
    for request_id, path in calls.posted_path_by_id.items():
        if len(runs_by_id.get(request_id, ())) < 2:
            continue
        if path.startswith(tuple(idempotent_paths)):
            summary.repeated += 1
        else:
            summary.doubled_calls.append(f"{request_id} {path}")
    summary.doubled = len(summary.doubled_calls)
    for request_id, digests in calls.digests_by_id.items():
        recorded = runs_by_id.get(request_id)
        if recorded and digests not in recorded:
            summary.crossed += 1
    summary.false_not_run = sum(1 for i in calls.not_run_ids if i in runs_by_id)


@cappa.command(name="bulrushflow-load")
@dataclass
class LoadCommand:
    """Send seeded calls to nodes, compare the responses with the targets' runs, print a summary.

    Exit status 1 when a call was lost, doubled, crossed or cut, or ran although refused as not run.
    """

    node: t.Annotated[list[str], cappa.Arg(long=True, help="a node's caller URL; repeat for more")]
    path: t.Annotated[list[str], cappa.Arg(long=True, help="a path to call; repeat for more")]
    target: t.Annotated[
        list[str], cappa.Arg(long=True, help="a target's URL, to compare runs; repeat for more")
    ] = field(default_factory=list)
    idempotent_path: t.Annotated[
        list[str], cappa.Arg(long=True, help="prefix of paths declared idempotent; repeat for more")
    ] = field(default_factory=list)
    rate: t.Annotated[float, cappa.Arg(long=True, help="calls per second over all nodes")] = 100.0
    seconds: t.Annotated[float, cappa.Arg(long=True, help="length of the run in seconds")] = 10.0
    seed: t.Annotated[int, cappa.Arg(long=True, help="seed of the calls")] = 1

    def __call__(self) -> None:
        summary = asyncio.run(self._run())
        sys.stdout.write(msgspec.json.encode(summary).decode() + "\n")
        if summary.has_failures():
            raise cappa.Exit(code=1)

    async def _run(self) -> Summary:
        calls = await run_load(self.node, self.path, self.rate, self.seconds, self.seed)
        await compare_runs(calls, self.target, self.idempotent_path)
        return calls.summary


def main() -> None:
    """Run the ``bulrushflow-load`` program."""
    cappa.invoke(LoadCommand)
