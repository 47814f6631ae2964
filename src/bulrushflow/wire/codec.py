"""Conversion between domain types and thrift messages."""

import typing as t

from bulrushflow.rollouts import Evidence
from bulrushflow.rollouts import RouteCounts
from bulrushflow.rollouts import SharedRollout
from bulrushflow.rollouts import empty_buckets
from bulrushflow.routing import FINAL_STATUSES
from bulrushflow.routing import Call
from bulrushflow.routing import CallFailure
from bulrushflow.routing import CallResult
from bulrushflow.routing import Outcome
from bulrushflow.routing import Response
from bulrushflow.routing import unknown
from bulrushflow.wire import messages

MIN_TIMEOUT_S = 0.001
"""Least time left with which a call is sent to another node."""

_OUTCOMES = frozenset(int(outcome) for outcome in Outcome)


def rollout_to_message(rollout: SharedRollout) -> t.Any:
    """Return the thrift message for a rollout's shared state."""
    return messages.MoveState(
        move=rollout.offset,
        share_permille=rollout.share_permille,
        taken_back=rollout.rolled_back,
        reason=rollout.reason,
        decided_by=rollout.decided_by,
    )


def rollout_from_message(message: t.Any) -> SharedRollout:
    """Return a rollout's shared state from its thrift message."""
    return SharedRollout(
        message.move,
        message.share_permille,
        message.taken_back,
        message.reason or "",
        message.decided_by or "",
    )


def call_to_message(call: Call, timeout_s: float) -> t.Any:
    """Return the thrift message for a call that has ``timeout_s`` seconds left.

    Whole milliseconds are sent, rounded down, so ``timeout_s`` is at least ``MIN_TIMEOUT_S``.
    """
    return messages.CallRequest(
        request_id=call.request_id,
        tenant=call.tenant,
        service_name=call.service,
        version=call.version,
        route=call.route,
        method=call.method,
        path=_text_to_message(call.path),
        headers=_headers_to_message(call.headers),
        body=call.body,
        timeout_ms=int(timeout_s * 1000),
        idempotent=call.idempotent,
        attempt=call.attempt,
        priority=call.priority,
        organisation=call.organisation or None,
    )


def call_from_message(message: t.Any, now: float) -> Call:
    """Return the call in a thrift message.

    Senders without latency objectives don't set one; the call is then late only at its deadline.

    :param now: seconds on this node's clock, to which the message's durations are added.
    """
    useful_ms = message.timeout_ms if message.useful_ms is None else message.useful_ms
    return Call(
        request_id=message.request_id,
        tenant=message.tenant,
        service=message.service_name,
        version=message.version,
        route=message.route,
        method=message.method,
        path=_text_from_message(message.path),
        headers=_headers_from_message(message.headers),
        body=message.body,
        deadline=now + message.timeout_ms / 1000,
        idempotent=message.idempotent,
        attempt=message.attempt or 0,
        priority=message.priority or 0,
        late_after=now + useful_ms / 1000,
        organisation=message.organisation or "",
    )


def result_to_message(result: CallResult, load: int, capacity: int) -> t.Any:
    """Return the thrift message for a call's outcome.

    :param load: occupied slots and queued calls of this node's target.
    :param capacity: slots of this node's target.
    """
    if result.is_ok():
        response = result.unwrap()
        return messages.CallAnswer(
            outcome=int(Outcome.ANSWERED),
            status=response.status,
            headers=_headers_to_message(response.headers),
            body=response.body,
            reason="",
            in_flight=load,
            capacity=capacity,
        )
    failure = result.unwrap_err()
    return messages.CallAnswer(
        outcome=int(failure.outcome),
        status=0,
        headers=[],
        body=b"",
        reason=failure.reason,
        arrived=failure.reached_target,
        in_flight=load,
        capacity=capacity,
    )


def result_from_message(message: t.Any) -> CallResult:
    """Return a call's outcome from its thrift message."""
    if message.outcome not in _OUTCOMES:
        # An outcome of a later release: whether the call ran can't be known.
        return CallFailure(Outcome.UNKNOWN, message.reason or "").as_result()
    outcome = Outcome(message.outcome)
    if outcome is not Outcome.ANSWERED:
        return CallFailure(outcome, message.reason, bool(message.arrived)).as_result()
    if message.status not in FINAL_STATUSES:
        # Nodes of earlier releases pass on what their target wrote.
        return unknown(f"no HTTP answer: its status is {message.status:03}")
    headers = _headers_from_message(message.headers)
    return Response(message.status, headers, message.body).as_result()


def evidence_to_message(evidence: Evidence) -> t.Any:
    """Return the thrift message for a node's evidence on a rollout."""
    routes = [
        messages.RouteEvidence(
            version=version,
            route=route,
            calls=counts.calls,
            errors=counts.errors,
            latency_sum_s=counts.latency_sum_s,
            latency_square_sum=counts.latency_square_sum,
            latency_buckets=[],
            sparse_buckets=_buckets_to_message(counts.latency_buckets),
            returned_errors=counts.returned if counts.classified == counts.calls else None,
            unanswered=counts.unanswered if counts.classified == counts.calls else None,
        )
        for (version, route), counts in evidence.counts_by_version_route.items()
    ]
    return messages.EvidenceReport(
        move=evidence.rollout_id,
        node_id=evidence.node_id,
        sequence=evidence.sequence,
        routes=routes,
        incarnation=evidence.incarnation,
        given=evidence.given or None,
    )


def evidence_from_message(message: t.Any) -> Evidence:
    """Return a node's evidence on a rollout from its thrift message.

    :raises IndexError: if the message names a latency bucket that does not exist.
    """
    counts = {
        (r.version, r.route): RouteCounts(
            r.calls,
            r.errors,
            r.latency_sum_s,
            r.latency_square_sum,
            _buckets_from_message(r),
            r.calls if r.returned_errors is not None else 0,
            r.returned_errors or 0,
            r.unanswered or 0,
        )
        for r in message.routes or ()
    }
    return Evidence(
        message.move,
        message.node_id,
        message.sequence,
        counts,
        message.incarnation or 0,
        message.given or 0,
    )


def _buckets_to_message(buckets: list[int]) -> list[int]:
    sparse: list[int] = []
    for i, count in enumerate(buckets):
        if count:
            sparse += (i, count)
    return sparse


def _buckets_from_message(route: t.Any) -> list[int]:
    buckets = empty_buckets()
    if route.sparse_buckets is None:
        for i, count in enumerate(route.latency_buckets or ()):
            buckets[i] = count
        return buckets
    sparse = route.sparse_buckets
    for i, count in zip(sparse[::2], sparse[1::2], strict=False):
        buckets[i] = count
    return buckets


def _headers_to_message(headers: t.Iterable[tuple[str, str]]) -> list[t.Any]:
    return [messages.Header(name=name, value=_text_to_message(value)) for name, value in headers]


def _headers_from_message(headers: t.Iterable[t.Any]) -> tuple[tuple[str, str], ...]:
    return tuple((h.name, _text_from_message(h.value)) for h in headers)


def _text_to_message(text: str) -> str | bytes:
    # HTTP allows bytes that are not UTF-8; the HTTP library decodes them with surrogateescape.
    return text if text.isascii() else text.encode("utf-8", "surrogateescape")


def _text_from_message(text: str | bytes) -> str:
    return text if isinstance(text, str) else text.decode("utf-8", "surrogateescape")
