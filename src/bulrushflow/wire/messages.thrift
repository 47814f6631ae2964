// Messages between nodes. To stay compatible between releases, fields are only added: optional
// ones with new numbers.

struct Target {
  1: required string service_name
  2: required string version
  3: required i32 state
  4: required i32 slots
}

struct Member {
  1: required string node_id
  2: required string data_centre
  3: required string address
  4: required i32 peer_port
  5: required i64 incarnation
  6: required i32 status
  7: optional Target target
}

// The shared state of one rollout, identified by the offset of the record that started it.
struct MoveState {
  1: required i64 move
  2: required i32 share_permille
  3: required bool taken_back
  4: required string reason
  5: required string decided_by
}

// Membership and rollout state that every datagram carries besides its own purpose.
struct Gossip {
  1: required string sender
  2: required i64 offset
  3: required list<Member> members
  4: required list<MoveState> moves
  // The digest of the members that the sender records as alive, and the sender's incarnation.
  30: optional i64 digest
  31: optional i64 incarnation
}

struct Ping {
  1: required i64 sequence
}

struct Ack {
  1: required i64 sequence
}

// Asks the receiver to ping another node and to forward its ack.
struct PingRequest {
  1: required i64 sequence
  2: required string address
  3: required i32 peer_port
  // The node expected at this address, which another node may have taken over.
  30: optional string node_id
}

// Four bytes for each bucket of members; the receiver returns the buckets that differ.
struct BucketDigests {
  1: required binary digests
}

// Requests the members of some buckets, or a paged exchange of the whole table.
struct BucketRequest {
  1: required list<i32> buckets
  2: required bool whole_table
}

struct Datagram {
  1: required Gossip gossip
  2: optional Ping ping
  3: optional Ack ack
  4: optional PingRequest ping_request
  30: optional BucketDigests bucket_digests
  31: optional BucketRequest bucket_request
}

struct Header {
  1: required string name
  2: required string value
}

// The limit that a target named in a response to the sender of the call.
struct NamedLimit {
  1: required string target_id
  2: required i64 incarnation
  3: required double calls_per_s
}

struct CallRequest {
  1: required string request_id
  2: required string tenant
  3: required string service_name
  4: required string version
  5: required string route
  6: required string method
  7: required string path
  8: required list<Header> headers
  9: required binary body
  10: required i32 timeout_ms
  11: required bool idempotent
  50: optional i32 attempt
  // 0 is the highest priority.
  60: optional i32 priority
  // Offset up to which the sender has read the operator's records.
  61: optional i64 read_offset
  // The latency objective that is left, in milliseconds; after it the answer counts as late.
  62: optional i32 useful_ms
  // What the receiver's target said last, which a receiver that was restarted doesn't know.
  63: optional NamedLimit named_limit
  // Era of the store that read_offset is of; offsets of different eras can't be compared.
  64: optional i64 read_era
  // Set if the sender takes a large response in chunks: bytes of the body that may be sent before
  // it grants more.
  120: optional i32 chunk_window

  // Name of the organisation whose key the caller's request had; absent without one.
  100: optional string organisation

  // Sent by releases that told repeated calls from first ones; ignored.
  140: optional bool returned
}

struct CallAnswer {
  1: required i32 outcome
  2: required i32 status
  3: required list<Header> headers
  4: required binary body
  5: required string reason
  6: required i32 in_flight
  50: optional i32 capacity
  // Offset up to which the sender has read the operator's records.
  61: optional i64 read_offset
  // True if the call reached the target, which refused it.
  62: optional bool arrived
  // Era of the store that read_offset is of.
  64: optional i64 read_era
  // Time for which the sender's link is busy with the responses that it has accepted.
  120: optional i32 link_backlog_ms
  // Length of a body that follows in chunks; the field body is empty then.
  121: optional i32 chunked_bytes

  // Milliseconds for which the sender's target is expected to be cold; not set if its service has no
  // limit for cold targets.
  170: optional i32 cold_ms

  // True if the call was refused because the sender's link can't deliver its response in time.
  122: optional bool link_full

  // Expected remaining work at the target per slot, in milliseconds.
  150: optional i32 work_ms
  151: optional i32 free_slots
  // Expected time until a call that arrives now starts.
  152: optional i32 wait_ms
  // Mean service time of the call's route at this target.
  153: optional i32 service_ms
}

// Asks whether a call would be refused, before its large body is sent. The call's body is empty.
struct AdmissionRequest {
  1: required CallRequest call
  2: required i32 body_bytes
}

// A CallAnswer with the refusal; absent if the call would start or wait.
struct AdmissionAnswer {
  1: optional CallAnswer refusal
}

struct CallCancel {
  1: required i64 exchange
}

// Sent with the exchange of a call that is open: its response is of no use after so many
// milliseconds, which may be earlier than the call said.
struct CallDeadline {
  1: required i32 timeout_ms
}

// The next part of a response's body. The body is complete once all its bytes have arrived.
struct BodyChunk {
  1: required binary data
}

// Allows the sender of a body to send so many bytes more.
struct BodyGrant {
  1: required i32 size
}

struct Record {
  1: required i64 offset
  2: required i64 appended_at_ms
  3: required binary body
}

struct RecordsRequest {
  1: required i64 from_offset
}

// Records from the requested offset, or a snapshot if records from there are no longer kept.
struct Records {
  1: required list<Record> records
  2: optional binary snapshot
  // The version of the responding node, and whether that is known to be the highest.
  20: optional i64 offset
  21: optional bool fresh
  // The request was not served because the node is busy; it may be retried later.
  22: optional bool busy
  // Whether the responding node's last read of the log succeeded.
  23: optional bool reads_log
  // Whether the responding node, or one that reported to it, has known the highest version at
  // any time since its start.
  24: optional bool was_fresh
}

// New records, forwarded along the dissemination tree of ``root``; without records, only an
// announcement that they exist.
struct RecordsPush {
  20: required string root
  21: required i64 offset
  22: required list<Record> records
}

// Requests a page of the member table: members whose ids follow the given one.
struct MembersRequest {
  1: required Gossip gossip
  30: optional string after
}

// A page of the member table. A busy node returns a few members instead, as other nodes to ask.
struct Members {
  1: required Gossip gossip
  30: optional string next_after
  31: optional bool busy
}

struct RouteEvidence {
  1: required string version
  2: required string route
  3: required i64 calls
  4: required i64 errors
  5: required double latency_sum_s
  6: required double latency_square_sum
  7: required list<i64> latency_buckets
  // Alternating index and count of each non-empty bucket; replaces latency_buckets.
  40: optional list<i32> sparse_buckets
  // The errors by kind, from nodes that tell them apart: those that the target returned, and calls
  // that reached their deadline or lost their connection.
  180: optional i64 returned_errors
  181: optional i64 unanswered
}

// Cumulative counts of one node's own target since a rollout began.
struct EvidenceReport {
  1: required i64 move
  2: required string node_id
  3: required i64 sequence
  4: required list<RouteEvidence> routes
  // Distinguishes a node's process from the one before its restart.
  40: optional i64 incarnation
  // Calls of the version under test that were sent to the target, ended or not.
  182: optional i64 given
}

struct Heartbeat {
}

// The response to a request whose handler failed or whose response could not be sent.
struct ExchangeFailure {
  1: required string reason
}

// The sender is about to close the connection and accepts no new requests on it.
struct Goodbye {
}

// A record of the state in the store, sent to other nodes without waiting for the store.
struct StateNotice {
  1: required string key
  2: required binary value
}

// How far the sender has replicated a topic of the store.
struct TopicPosition {
  1: required string topic
  // Offset of the next record; absent before the topic was loaded.
  2: optional i64 offset
  // Era of the store that the offset is of.
  3: required i64 era
  // Offset at which the topic is known to end, which may be later.
  4: required i64 known_end
}

// Requests what a node has read of the store beyond the positions, and waits if there is nothing.
struct UpdatesRequest {
  1: required list<TopicPosition> positions
  2: required i32 wait_ms
  // Only the offsets are wanted, not the records.
  3: required bool offsets_only
}

struct StoreRecord {
  1: required string key
  // Empty if the key was deleted.
  2: required binary value
  3: required i64 offset
}

struct StoreRecords {
  1: required list<StoreRecord> records
}

// The newest records of a topic's keys between two offsets, or of all keys.
struct TopicUpdate {
  1: required string topic
  2: required i64 era
  // Offset from which on the records are complete; absent if they are the whole state.
  3: optional i64 start_offset
  4: required i64 end_offset
  // StoreRecords in zlib's format; absent without records.
  5: optional binary records
  // Whether the sender knows of no later record and reaches the store.
  6: required bool current
  // Age of the store's latest response to the sender.
  7: required i32 confirmed_ms_ago
}

struct Updates {
  1: required list<TopicUpdate> updates
  // Time that the request waited at the sender.
  2: optional i32 waited_ms
}

// A node's report to the home of an organisation, with a request for tokens of its allowance.
struct AllowanceDemand {
  1: required string organisation
  // Requests per second that arrive at the node.
  2: required double per_s
  3: required i32 wanted
  // The share of the rate that the node holds, and the depth of its bucket.
  4: required double held_per_s
  5: required double held_depth
  // Tokens that passed without the home's knowledge.
  6: required i32 spent
  // Tokens of the share that weren't used.
  7: required double unused
}

struct AllowancesRequest {
  // Key of the sender's entry in the store.
  1: required string node_key
  2: required list<AllowanceDemand> demands
}

struct AllowanceGrant {
  1: required string organisation
  2: required double share_per_s
  3: required double share_depth
  4: required i32 tokens
  5: required i32 retry_after_ms
  6: required i32 renew_after_ms
  7: required double fallback_per_s
}

// Grants for those of the demands whose home the responding node is.
struct AllowancesAnswer {
  1: required list<AllowanceGrant> grants
}

// Asks a node which shares it holds.
struct HoldingsRequest {
}

struct AllowanceHolding {
  1: required string organisation
  2: required double per_s
  3: required double depth
}

struct Holdings {
  1: required list<AllowanceHolding> holdings
}

// One message on a connection between nodes. A response has its request's exchange number.
struct Frame {
  1: required i64 exchange
  2: optional CallRequest call_request
  3: optional CallAnswer call_answer
  4: optional CallCancel call_cancel
  5: optional RecordsRequest records_request
  6: optional Records records
  7: optional MembersRequest members_request
  8: optional Members members
  9: optional EvidenceReport evidence_report
  10: optional Heartbeat ping
  11: optional Heartbeat pong
  20: optional RecordsPush records_push
  50: optional ExchangeFailure failure
  51: optional Goodbye goodbye
  60: optional StateNotice state_notice
  70: optional UpdatesRequest updates_request
  71: optional Updates updates
  80: optional AdmissionRequest admission_request
  81: optional AdmissionAnswer admission_answer
  120: optional BodyChunk body_chunk
  121: optional BodyGrant body_grant
  122: optional CallDeadline call_deadline

  110: optional AllowancesRequest allowances_request
  111: optional AllowancesAnswer allowances_answer
  112: optional HoldingsRequest holdings_request
  113: optional Holdings holdings
}
