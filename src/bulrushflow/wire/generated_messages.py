"""Message classes, generated from ``messages.thrift`` by ``make messages``."""

from thriftpy2.thrift import TPayload
from thriftpy2.thrift import TType


class Target(TPayload):
    thrift_spec = {
        1: (TType.STRING, "service_name", True),
        2: (TType.STRING, "version", True),
        3: (TType.I32, "state", True),
        4: (TType.I32, "slots", True),
    }
    default_spec = [
        ("service_name", None),
        ("version", None),
        ("state", None),
        ("slots", None),
    ]


class Member(TPayload):
    thrift_spec = {
        1: (TType.STRING, "node_id", True),
        2: (TType.STRING, "data_centre", True),
        3: (TType.STRING, "address", True),
        4: (TType.I32, "peer_port", True),
        5: (TType.I64, "incarnation", True),
        6: (TType.I32, "status", True),
        7: (TType.STRUCT, "target", Target, False),
    }
    default_spec = [
        ("node_id", None),
        ("data_centre", None),
        ("address", None),
        ("peer_port", None),
        ("incarnation", None),
        ("status", None),
        ("target", None),
    ]


class MoveState(TPayload):
    thrift_spec = {
        1: (TType.I64, "move", True),
        2: (TType.I32, "share_permille", True),
        3: (TType.BOOL, "taken_back", True),
        4: (TType.STRING, "reason", True),
        5: (TType.STRING, "decided_by", True),
    }
    default_spec = [
        ("move", None),
        ("share_permille", None),
        ("taken_back", None),
        ("reason", None),
        ("decided_by", None),
    ]


class Gossip(TPayload):
    thrift_spec = {
        1: (TType.STRING, "sender", True),
        2: (TType.I64, "offset", True),
        3: (TType.LIST, "members", (TType.STRUCT, Member), True),
        4: (TType.LIST, "moves", (TType.STRUCT, MoveState), True),
        30: (TType.I64, "digest", False),
        31: (TType.I64, "incarnation", False),
    }
    default_spec = [
        ("sender", None),
        ("offset", None),
        ("members", None),
        ("moves", None),
        ("digest", None),
        ("incarnation", None),
    ]


class Ping(TPayload):
    thrift_spec = {
        1: (TType.I64, "sequence", True),
    }
    default_spec = [
        ("sequence", None),
    ]


class Ack(TPayload):
    thrift_spec = {
        1: (TType.I64, "sequence", True),
    }
    default_spec = [
        ("sequence", None),
    ]


class PingRequest(TPayload):
    thrift_spec = {
        1: (TType.I64, "sequence", True),
        2: (TType.STRING, "address", True),
        3: (TType.I32, "peer_port", True),
        30: (TType.STRING, "node_id", False),
    }
    default_spec = [
        ("sequence", None),
        ("address", None),
        ("peer_port", None),
        ("node_id", None),
    ]


class BucketDigests(TPayload):
    thrift_spec = {
        1: (TType.BINARY, "digests", True),
    }
    default_spec = [
        ("digests", None),
    ]


class BucketRequest(TPayload):
    thrift_spec = {
        1: (TType.LIST, "buckets", TType.I32, True),
        2: (TType.BOOL, "whole_table", True),
    }
    default_spec = [
        ("buckets", None),
        ("whole_table", None),
    ]


class Datagram(TPayload):
    thrift_spec = {
        1: (TType.STRUCT, "gossip", Gossip, True),
        2: (TType.STRUCT, "ping", Ping, False),
        3: (TType.STRUCT, "ack", Ack, False),
        4: (TType.STRUCT, "ping_request", PingRequest, False),
        30: (TType.STRUCT, "bucket_digests", BucketDigests, False),
        31: (TType.STRUCT, "bucket_request", BucketRequest, False),
    }
    default_spec = [
        ("gossip", None),
        ("ping", None),
        ("ack", None),
        ("ping_request", None),
        ("bucket_digests", None),
        ("bucket_request", None),
    ]


class Header(TPayload):
    thrift_spec = {
        1: (TType.STRING, "name", True),
        2: (TType.STRING, "value", True),
    }
    default_spec = [
        ("name", None),
        ("value", None),
    ]


class NamedLimit(TPayload):
    thrift_spec = {
        1: (TType.STRING, "target_id", True),
        2: (TType.I64, "incarnation", True),
        3: (TType.DOUBLE, "calls_per_s", True),
    }
    default_spec = [
        ("target_id", None),
        ("incarnation", None),
        ("calls_per_s", None),
    ]


class CallRequest(TPayload):
    thrift_spec = {
        1: (TType.STRING, "request_id", True),
        2: (TType.STRING, "tenant", True),
        3: (TType.STRING, "service_name", True),
        4: (TType.STRING, "version", True),
        5: (TType.STRING, "route", True),
        6: (TType.STRING, "method", True),
        7: (TType.STRING, "path", True),
        8: (TType.LIST, "headers", (TType.STRUCT, Header), True),
        9: (TType.BINARY, "body", True),
        10: (TType.I32, "timeout_ms", True),
        11: (TType.BOOL, "idempotent", True),
        50: (TType.I32, "attempt", False),
        60: (TType.I32, "priority", False),
        61: (TType.I64, "read_offset", False),
        62: (TType.I32, "useful_ms", False),
        63: (TType.STRUCT, "named_limit", NamedLimit, False),
        64: (TType.I64, "read_era", False),
        120: (TType.I32, "chunk_window", False),
        100: (TType.STRING, "organisation", False),
        140: (TType.BOOL, "returned", False),
    }
    default_spec = [
        ("request_id", None),
        ("tenant", None),
        ("service_name", None),
        ("version", None),
        ("route", None),
        ("method", None),
        ("path", None),
        ("headers", None),
        ("body", None),
        ("timeout_ms", None),
        ("idempotent", None),
        ("attempt", None),
        ("priority", None),
        ("read_offset", None),
        ("useful_ms", None),
        ("named_limit", None),
        ("read_era", None),
        ("chunk_window", None),
        ("organisation", None),
        ("returned", None),
    ]


class CallAnswer(TPayload):
    thrift_spec = {
        1: (TType.I32, "outcome", True),
        2: (TType.I32, "status", True),
        3: (TType.LIST, "headers", (TType.STRUCT, Header), True),
        4: (TType.BINARY, "body", True),
        5: (TType.STRING, "reason", True),
        6: (TType.I32, "in_flight", True),
        50: (TType.I32, "capacity", False),
        61: (TType.I64, "read_offset", False),
        62: (TType.BOOL, "arrived", False),
        64: (TType.I64, "read_era", False),
        120: (TType.I32, "link_backlog_ms", False),
        121: (TType.I32, "chunked_bytes", False),
        170: (TType.I32, "cold_ms", False),
        122: (TType.BOOL, "link_full", False),
        150: (TType.I32, "work_ms", False),
        151: (TType.I32, "free_slots", False),
        152: (TType.I32, "wait_ms", False),
        153: (TType.I32, "service_ms", False),
    }
    default_spec = [
        ("outcome", None),
        ("status", None),
        ("headers", None),
        ("body", None),
        ("reason", None),
        ("in_flight", None),
        ("capacity", None),
        ("read_offset", None),
        ("arrived", None),
        ("read_era", None),
        ("link_backlog_ms", None),
        ("chunked_bytes", None),
        ("cold_ms", None),
        ("link_full", None),
        ("work_ms", None),
        ("free_slots", None),
        ("wait_ms", None),
        ("service_ms", None),
    ]


class AdmissionRequest(TPayload):
    thrift_spec = {
        1: (TType.STRUCT, "call", CallRequest, True),
        2: (TType.I32, "body_bytes", True),
    }
    default_spec = [
        ("call", None),
        ("body_bytes", None),
    ]


class AdmissionAnswer(TPayload):
    thrift_spec = {
        1: (TType.STRUCT, "refusal", CallAnswer, False),
    }
    default_spec = [
        ("refusal", None),
    ]


class CallCancel(TPayload):
    thrift_spec = {
        1: (TType.I64, "exchange", True),
    }
    default_spec = [
        ("exchange", None),
    ]


class CallDeadline(TPayload):
    thrift_spec = {
        1: (TType.I32, "timeout_ms", True),
    }
    default_spec = [
        ("timeout_ms", None),
    ]


class BodyChunk(TPayload):
    thrift_spec = {
        1: (TType.BINARY, "data", True),
    }
    default_spec = [
        ("data", None),
    ]


class BodyGrant(TPayload):
    thrift_spec = {
        1: (TType.I32, "size", True),
    }
    default_spec = [
        ("size", None),
    ]


class Record(TPayload):
    thrift_spec = {
        1: (TType.I64, "offset", True),
        2: (TType.I64, "appended_at_ms", True),
        3: (TType.BINARY, "body", True),
    }
    default_spec = [
        ("offset", None),
        ("appended_at_ms", None),
        ("body", None),
    ]


class RecordsRequest(TPayload):
    thrift_spec = {
        1: (TType.I64, "from_offset", True),
    }
    default_spec = [
        ("from_offset", None),
    ]


class Records(TPayload):
    thrift_spec = {
        1: (TType.LIST, "records", (TType.STRUCT, Record), True),
        2: (TType.BINARY, "snapshot", False),
        20: (TType.I64, "offset", False),
        21: (TType.BOOL, "fresh", False),
        22: (TType.BOOL, "busy", False),
        23: (TType.BOOL, "reads_log", False),
        24: (TType.BOOL, "was_fresh", False),
    }
    default_spec = [
        ("records", None),
        ("snapshot", None),
        ("offset", None),
        ("fresh", None),
        ("busy", None),
        ("reads_log", None),
        ("was_fresh", None),
    ]


class RecordsPush(TPayload):
    thrift_spec = {
        20: (TType.STRING, "root", True),
        21: (TType.I64, "offset", True),
        22: (TType.LIST, "records", (TType.STRUCT, Record), True),
    }
    default_spec = [
        ("root", None),
        ("offset", None),
        ("records", None),
    ]


class MembersRequest(TPayload):
    thrift_spec = {
        1: (TType.STRUCT, "gossip", Gossip, True),
        30: (TType.STRING, "after", False),
    }
    default_spec = [
        ("gossip", None),
        ("after", None),
    ]


class Members(TPayload):
    thrift_spec = {
        1: (TType.STRUCT, "gossip", Gossip, True),
        30: (TType.STRING, "next_after", False),
        31: (TType.BOOL, "busy", False),
    }
    default_spec = [
        ("gossip", None),
        ("next_after", None),
        ("busy", None),
    ]


class RouteEvidence(TPayload):
    thrift_spec = {
        1: (TType.STRING, "version", True),
        2: (TType.STRING, "route", True),
        3: (TType.I64, "calls", True),
        4: (TType.I64, "errors", True),
        5: (TType.DOUBLE, "latency_sum_s", True),
        6: (TType.DOUBLE, "latency_square_sum", True),
        7: (TType.LIST, "latency_buckets", TType.I64, True),
        40: (TType.LIST, "sparse_buckets", TType.I32, False),
        180: (TType.I64, "returned_errors", False),
        181: (TType.I64, "unanswered", False),
    }
    default_spec = [
        ("version", None),
        ("route", None),
        ("calls", None),
        ("errors", None),
        ("latency_sum_s", None),
        ("latency_square_sum", None),
        ("latency_buckets", None),
        ("sparse_buckets", None),
        ("returned_errors", None),
        ("unanswered", None),
    ]


class EvidenceReport(TPayload):
    thrift_spec = {
        1: (TType.I64, "move", True),
        2: (TType.STRING, "node_id", True),
        3: (TType.I64, "sequence", True),
        4: (TType.LIST, "routes", (TType.STRUCT, RouteEvidence), True),
        40: (TType.I64, "incarnation", False),
        182: (TType.I64, "given", False),
    }
    default_spec = [
        ("move", None),
        ("node_id", None),
        ("sequence", None),
        ("routes", None),
        ("incarnation", None),
        ("given", None),
    ]


class Heartbeat(TPayload):
    thrift_spec: dict[int, object] = {}
    default_spec: list[object] = []


class ExchangeFailure(TPayload):
    thrift_spec = {
        1: (TType.STRING, "reason", True),
    }
    default_spec = [
        ("reason", None),
    ]


class Goodbye(TPayload):
    thrift_spec: dict[int, object] = {}
    default_spec: list[object] = []


class StateNotice(TPayload):
    thrift_spec = {
        1: (TType.STRING, "key", True),
        2: (TType.BINARY, "value", True),
    }
    default_spec = [
        ("key", None),
        ("value", None),
    ]


class TopicPosition(TPayload):
    thrift_spec = {
        1: (TType.STRING, "topic", True),
        2: (TType.I64, "offset", False),
        3: (TType.I64, "era", True),
        4: (TType.I64, "known_end", True),
    }
    default_spec = [
        ("topic", None),
        ("offset", None),
        ("era", None),
        ("known_end", None),
    ]


class UpdatesRequest(TPayload):
    thrift_spec = {
        1: (TType.LIST, "positions", (TType.STRUCT, TopicPosition), True),
        2: (TType.I32, "wait_ms", True),
        3: (TType.BOOL, "offsets_only", True),
    }
    default_spec = [
        ("positions", None),
        ("wait_ms", None),
        ("offsets_only", None),
    ]


class StoreRecord(TPayload):
    thrift_spec = {
        1: (TType.STRING, "key", True),
        2: (TType.BINARY, "value", True),
        3: (TType.I64, "offset", True),
    }
    default_spec = [
        ("key", None),
        ("value", None),
        ("offset", None),
    ]


class StoreRecords(TPayload):
    thrift_spec = {
        1: (TType.LIST, "records", (TType.STRUCT, StoreRecord), True),
    }
    default_spec = [
        ("records", None),
    ]


class TopicUpdate(TPayload):
    thrift_spec = {
        1: (TType.STRING, "topic", True),
        2: (TType.I64, "era", True),
        3: (TType.I64, "start_offset", False),
        4: (TType.I64, "end_offset", True),
        5: (TType.BINARY, "records", False),
        6: (TType.BOOL, "current", True),
        7: (TType.I32, "confirmed_ms_ago", True),
    }
    default_spec = [
        ("topic", None),
        ("era", None),
        ("start_offset", None),
        ("end_offset", None),
        ("records", None),
        ("current", None),
        ("confirmed_ms_ago", None),
    ]


class Updates(TPayload):
    thrift_spec = {
        1: (TType.LIST, "updates", (TType.STRUCT, TopicUpdate), True),
        2: (TType.I32, "waited_ms", False),
    }
    default_spec = [
        ("updates", None),
        ("waited_ms", None),
    ]


class AllowanceDemand(TPayload):
    thrift_spec = {
        1: (TType.STRING, "organisation", True),
        2: (TType.DOUBLE, "per_s", True),
        3: (TType.I32, "wanted", True),
        4: (TType.DOUBLE, "held_per_s", True),
        5: (TType.DOUBLE, "held_depth", True),
        6: (TType.I32, "spent", True),
        7: (TType.DOUBLE, "unused", True),
    }
    default_spec = [
        ("organisation", None),
        ("per_s", None),
        ("wanted", None),
        ("held_per_s", None),
        ("held_depth", None),
        ("spent", None),
        ("unused", None),
    ]


class AllowancesRequest(TPayload):
    thrift_spec = {
        1: (TType.STRING, "node_key", True),
        2: (TType.LIST, "demands", (TType.STRUCT, AllowanceDemand), True),
    }
    default_spec = [
        ("node_key", None),
        ("demands", None),
    ]


class AllowanceGrant(TPayload):
    thrift_spec = {
        1: (TType.STRING, "organisation", True),
        2: (TType.DOUBLE, "share_per_s", True),
        3: (TType.DOUBLE, "share_depth", True),
        4: (TType.I32, "tokens", True),
        5: (TType.I32, "retry_after_ms", True),
        6: (TType.I32, "renew_after_ms", True),
        7: (TType.DOUBLE, "fallback_per_s", True),
    }
    default_spec = [
        ("organisation", None),
        ("share_per_s", None),
        ("share_depth", None),
        ("tokens", None),
        ("retry_after_ms", None),
        ("renew_after_ms", None),
        ("fallback_per_s", None),
    ]


class AllowancesAnswer(TPayload):
    thrift_spec = {
        1: (TType.LIST, "grants", (TType.STRUCT, AllowanceGrant), True),
    }
    default_spec = [
        ("grants", None),
    ]


class HoldingsRequest(TPayload):
    thrift_spec: dict[int, object] = {}
    default_spec: list[object] = []


class AllowanceHolding(TPayload):
    thrift_spec = {
        1: (TType.STRING, "organisation", True),
        2: (TType.DOUBLE, "per_s", True),
        3: (TType.DOUBLE, "depth", True),
    }
    default_spec = [
        ("organisation", None),
        ("per_s", None),
        ("depth", None),
    ]


class Holdings(TPayload):
    thrift_spec = {
        1: (TType.LIST, "holdings", (TType.STRUCT, AllowanceHolding), True),
    }
    default_spec = [
        ("holdings", None),
    ]


class Frame(TPayload):
    thrift_spec = {
        1: (TType.I64, "exchange", True),
        2: (TType.STRUCT, "call_request", CallRequest, False),
        3: (TType.STRUCT, "call_answer", CallAnswer, False),
        4: (TType.STRUCT, "call_cancel", CallCancel, False),
        5: (TType.STRUCT, "records_request", RecordsRequest, False),
        6: (TType.STRUCT, "records", Records, False),
        7: (TType.STRUCT, "members_request", MembersRequest, False),
        8: (TType.STRUCT, "members", Members, False),
        9: (TType.STRUCT, "evidence_report", EvidenceReport, False),
        10: (TType.STRUCT, "ping", Heartbeat, False),
        11: (TType.STRUCT, "pong", Heartbeat, False),
        20: (TType.STRUCT, "records_push", RecordsPush, False),
        50: (TType.STRUCT, "failure", ExchangeFailure, False),
        51: (TType.STRUCT, "goodbye", Goodbye, False),
        60: (TType.STRUCT, "state_notice", StateNotice, False),
        70: (TType.STRUCT, "updates_request", UpdatesRequest, False),
        71: (TType.STRUCT, "updates", Updates, False),
        80: (TType.STRUCT, "admission_request", AdmissionRequest, False),
        81: (TType.STRUCT, "admission_answer", AdmissionAnswer, False),
        120: (TType.STRUCT, "body_chunk", BodyChunk, False),
        121: (TType.STRUCT, "body_grant", BodyGrant, False),
        122: (TType.STRUCT, "call_deadline", CallDeadline, False),
        110: (TType.STRUCT, "allowances_request", AllowancesRequest, False),
        111: (TType.STRUCT, "allowances_answer", AllowancesAnswer, False),
        112: (TType.STRUCT, "holdings_request", HoldingsRequest, False),
        113: (TType.STRUCT, "holdings", Holdings, False),
    }
    default_spec = [
        ("exchange", None),
        ("call_request", None),
        ("call_answer", None),
        ("call_cancel", None),
        ("records_request", None),
        ("records", None),
        ("members_request", None),
        ("members", None),
        ("evidence_report", None),
        ("ping", None),
        ("pong", None),
        ("records_push", None),
        ("failure", None),
        ("goodbye", None),
        ("state_notice", None),
        ("updates_request", None),
        ("updates", None),
        ("admission_request", None),
        ("admission_answer", None),
        ("body_chunk", None),
        ("body_grant", None),
        ("call_deadline", None),
        ("allowances_request", None),
        ("allowances_answer", None),
        ("holdings_request", None),
        ("holdings", None),
    ]
