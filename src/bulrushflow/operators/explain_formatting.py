"""Text output of the command ``explain``."""

from bulrushflow.sidecar.calls.explanation_report import AllowanceReport
from bulrushflow.sidecar.calls.explanation_report import CandidateReport
from bulrushflow.sidecar.calls.explanation_report import Explanation
from bulrushflow.sidecar.calls.explanation_report import RefusalReport
from bulrushflow.sidecar.calls.explanation_report import RouteReport

_DECISION_TEXTS = {
    "pass": "the request would pass",
    "refuse": "the request would be refused",
    "ask": "this node would ask the organisation's home first",
}


def format_explanation(explanation: Explanation) -> str:
    """Return an explanation as text, one line for each decision and target."""
    version = explanation.configuration
    lines = [
        f"request to {explanation.host}{explanation.path} from {explanation.caller} "
        f"at node {explanation.node} in {explanation.data_centre}",
        f"configuration: version {version}" if version else "configuration: none",
    ]
    lines += _format_route(explanation.route)
    if explanation.route is not None:
        lines.append(f"time left: {explanation.time_left_s:g} s")
    if explanation.organisation:
        lines.append(f"organisation: {explanation.organisation}")
    if explanation.allowance is not None:
        lines.append(_format_allowance(explanation.allowance))
    if explanation.service:
        lines += _format_service(explanation)
    if explanation.choice:
        lines.append(
            f"choice: {explanation.choice} (one draw of a random choice; the next may differ)"
        )
    if explanation.probes:
        lines.append("the service is overloaded: this call would be the one that probes it")
    if explanation.refusal is not None:
        lines.append(_format_refusal(explanation.refusal, explanation.waits_for_target))
    return "\n".join(lines)


def _format_route(route: RouteReport | None) -> list[str]:
    if route is None:
        return ["route: none"]
    text = f"route: {route.name} ({route.host}{route.prefix}), priority {route.priority}"
    if route.disabled:
        return [f"{text}, disabled: {route.disabled}"]
    kind = "idempotent" if route.idempotent else "not idempotent"
    limits = (
        f"  {kind}, at most {route.max_attempts} attempts, timeout {route.timeout_s:g} s, "
        f"latency objective {route.latency_objective_s:g} s"
    )
    lines = [text, limits]
    if len(route.services) > 1:
        parts = ", ".join(f"{part.service} {part.weight:g}" for part in route.services)
        lines.append(f"  split by weight: {parts}")
    return lines


def _format_allowance(allowance: AllowanceReport) -> str:
    away = "" if allowance.home_answers else "; its home doesn't answer"
    return (
        f"  allowance: {allowance.limit_per_s:g} calls/s over all nodes, of which this node holds "
        f"{allowance.share_per_s:.2f}; demand here {allowance.demand_per_s:.2f} calls/s; "
        f"{allowance.tokens:.2f} tokens and {allowance.granted_tokens} granted{away}: "
        f"{_DECISION_TEXTS.get(allowance.decision, allowance.decision)}"
    )


def _format_service(explanation: Explanation) -> list[str]:
    lines = [f"service: {explanation.service}"]
    rollout = explanation.rollout
    if rollout is not None:
        in_use = f", in use {rollout.in_use}" if rollout.in_use else ""
        lines.append(
            f"  rollout to {rollout.to_version}: {rollout.phase}, "
            f"{rollout.share_permille / 10:g}% of the calls{in_use}"
        )
    if explanation.withdrawn_versions:
        lines.append(f"  withdrawn versions: {', '.join(explanation.withdrawn_versions)}")
    if not explanation.candidates:
        lines.append("  no targets")
    lines += [_format_candidate(candidate) for candidate in explanation.candidates]
    return lines


def _format_candidate(candidate: CandidateReport) -> str:
    response = _format_seconds(candidate.expected_response_s)
    text = (
        f"  {candidate.node:<20} {candidate.data_centre:<12} {candidate.version:<8} "
        f"load {candidate.load:.2f}, expected wait {_format_seconds(candidate.expected_wait_s)}, "
        f"response {response}"
    )
    if candidate.available:
        return f"{text}; {candidate.reason}" if candidate.reason else text
    return f"{text}; not available: {candidate.reason}"


def _format_seconds(seconds: float | None) -> str:
    return "unknown" if seconds is None else f"{seconds:.3f} s"


def _format_refusal(refusal: RefusalReport, waits: bool) -> str:
    condition = ", unless a target becomes available in a moment" if waits else ""
    text = f"refused with {refusal.status}{condition}: {refusal.reason}"
    low_s, high_s = refusal.retry_after_min_s, refusal.retry_after_max_s
    if low_s is None or high_s is None:
        return text
    if low_s == high_s:
        return f"{text}; Retry-After {low_s:.2f} s"
    return f"{text}; Retry-After between {low_s:.2f} and {high_s:.2f} s"
