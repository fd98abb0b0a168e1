// Messages between entry VMs. Datagrams carry one Datagram in the compact
// protocol; the Peer service runs over framed TCP.

namespace py burdockspan.gen.peer

const i16 PROTOCOL_VERSION = 1

enum MemberState {
  ALIVE = 1,
  SUSPECT = 2,
  DEAD = 3,
  LEFT = 4,
}

struct MemberUpdate {
  1: required string vm,
  2: required string address,
  3: required string availability_zone,
  4: required i64 incarnation,
  5: required MemberState state,
  6: optional string region,
  // Raised to refute a suspicion within one incarnation; absent means 0.
  7: optional i32 refutation,
}

// An endpoint leaves, or was undrained, as of a configuration generation.
struct LeavingMark {
  1: required string endpoint,
  2: required i64 generation,
  3: required bool leaving,
}

enum EngineRole {
  PREFILL = 1,
  DECODE = 2,
}

struct EndpointReport {
  1: required string endpoint,
  2: required string boot,
  3: required bool leaving,
  4: required i32 pieces,
  5: required i32 free_pieces,
  6: required i32 running,
  7: required i32 waiting,
  8: required i32 age_ms,
  // Absent for an endpoint that reports no role.
  9: optional EngineRole role,
}

struct Strike {
  1: required binary fingerprint,
  2: required string endpoint,
  3: required string boot,
  4: required i32 remaining_s,
}

enum DatagramKind {
  PING = 1,
  ACK = 2,
  PING_REQUEST = 3,
  CALL = 4,
}

// A call that waits for endpoints of a pool that another entry VM grants.
enum CallStep {
  REQUEST = 1,
  QUEUED = 2,
  GRANT = 3,
  REFUSE = 4,
  RESERVED = 5,
  TRANSFERRED = 6,
  FULL = 7,
  ENDED = 8,
}

struct CallNeeds {
  1: required string service_name,
  2: required bool completion,
  3: required bool urgent,
  4: required i32 pieces,
  5: required i32 prompt_tokens,
  6: required i32 max_tokens,
  // Time left until the deadline when the message was sent.
  7: required i32 remaining_ms,
  // Leading block hashes of the prompt, 8 bytes each.
  8: optional binary prefix,
  9: optional list<string> excluded,
}

struct CallMessage {
  1: required CallStep step,
  2: required string attempt,
  3: optional CallNeeds needs,
  4: optional string prefill,
  5: optional string decode,
  6: optional string replica,
  7: optional i16 status,
  8: optional string reason,
  9: optional string detail,
  10: optional i32 retry_after_ms,
}

struct Datagram {
  1: required i16 protocol_version,
  2: required DatagramKind kind,
  3: required i64 sequence,
  4: required MemberUpdate sender,
  5: optional string target,
  6: optional string target_address,
  7: required i64 configuration_generation,
  8: required i64 vm_list_version,
  9: optional list<MemberUpdate> updates,
  10: optional list<EndpointReport> reports,
  11: optional list<Strike> strikes,
  12: optional list<LeavingMark> marks,
  13: optional CallMessage call,
}

struct Snapshot {
  1: required i64 configuration_generation,
  2: optional binary configuration,
  3: required i64 vm_list_version,
  4: optional binary vm_list,
  5: optional list<MemberUpdate> members,
  6: optional list<Strike> strikes,
  7: optional list<LeavingMark> marks,
}

service Peer {
  // Returns what the caller does not have yet; omits what it has.
  Snapshot fetch(1: i64 configuration_generation, 2: i64 vm_list_version),
  // Offers a configuration; returns the generation held afterwards.
  i64 offer(1: i64 configuration_generation, 2: binary configuration),
}
