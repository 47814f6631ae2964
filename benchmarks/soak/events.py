"""What callers, targets and the operator see of one run; times are seconds since its start."""

import msgspec


class Run(msgspec.Struct):
    """One run of a call at a target."""

    call_id: str
    target: str
    started_at: float
    digest: int
    """CRC-32 of the body that the target responds with."""
    ended_at: float | None = None
    """End of the work, after which the response is written; ``None`` if it was broken off."""


class Call(msgspec.Struct):
    """One attempt of a caller, with an id of its own."""

    call_id: str
    route: str
    unsafe: bool
    node: str
    sent_at: float
    """When the last byte of the request was sent."""
    timeout_s: float
    """The caller's deadline, counted from ``sent_at``."""
    kept: bool
    """Whether the connection had carried a call or waited for one before."""
    ended_at: float = 0.0
    status: int = 0
    """0 if no complete head of a response came."""
    complete: bool = False
    """Whether the response came to its announced end."""
    response_id: str = ""
    signed: bool = False
    """Whether the response has a target's signature."""
    received_bytes: int = 0
    digest: int = 0
    error: str = ""


class Stop(msgspec.Struct):
    """One planned stop of a node."""

    node: str
    at: float
    """When SIGTERM was sent."""
    ended_at: float | None = None
    exit_status: int | None = None
    killed: bool = False
    """Whether it still ran at the end of its grace period."""


class Reload(msgspec.Struct):
    """One SIGHUP of a node."""

    node: str
    at: float


class Change(msgspec.Struct):
    """One configuration that the operator published."""

    at: float
    timeout_s_by_route: dict[str, float]


class Record(msgspec.Struct):
    """All events of one run."""

    grace_s: float
    calls: list[Call] = []
    runs: list[Run] = []
    stops: list[Stop] = []
    reloads: list[Reload] = []
    changes: list[Change] = []
    longest_pause_s: float = 0.0
    """Longest time for which this program, which takes the times, didn't run."""
    unplanned_exits: list[str] = []
    """Processes that ended without SIGTERM, with their exit status."""
