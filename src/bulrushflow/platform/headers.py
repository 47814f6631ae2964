"""Names of the platform's HTTP headers."""

from bulrushflow.sidecar.calls.headers import HeaderNames

HEADER_NAMES = HeaderNames(
    request_id="X-Bulrushflow-Attempt-Id",
    timeout_ms="X-Bulrushflow-Deadline-Ms",  # remaining time, not a point in time
    signature="X-Bulrushflow-Response-Signature",
    expected_target="X-Bulrushflow-Expect-Instance",
    not_run="X-Bulrushflow-Not-Executed",
    caller_service="X-Bulrushflow-Caller-Service",
    target_id="X-Bulrushflow-Instance-Id",
    rate_limit="Server-Limit",
    leaving="Server-Leaving",
    organisation="X-Bulrushflow-Tenant",
)
