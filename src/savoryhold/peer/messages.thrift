// Messages between nodes.  Field numbers go over the wire, names do not.

struct Challenge { 1: string nonce }
// `life` identifies a process: each start draws a new random one.
struct Hello { 1: string node, 2: string nonce, 3: string mac, 4: string life }
struct Welcome { 1: string node, 2: string mac, 3: string life }
struct Ack { 1: bool ok, 2: string text }
struct Probe {}
struct Cancel {}
// Flow control: lets the server of a call send this many further chunks.
struct Credit { 1: i32 chunks }

struct Header { 1: string name, 2: string content }

struct Forward {
  1: string request_id,
  2: string service_name,
  3: i32 shard,
  4: string key,
  5: string method,
  6: string path,
  7: list<Header> headers,
  8: binary body,
  9: i32 timeout_ms,
  10: bool idempotent,
  11: string service_class,
  12: i64 fingerprint,
  13: string region,
}

struct Answer {
  1: i32 status,
  2: list<Header> headers,
  3: binary body,
  4: bool more,
  5: string verdict,
  6: string code,
  7: string text,
  8: i32 retry_after_ms,
  9: bool packed,
}

// A further part of an answer; `failed` means that the answer broke off.
struct Chunk {
  1: binary body,
  2: bool more,
  3: bool failed,
  4: bool packed,
}

// Sent by the holder of a lease to its standby.
struct Heartbeat { 1: string holder, 2: i64 version }

// One version of an object of the store, passed on by gossip.
struct ObjectUpdate {
  1: string name,
  2: i64 version,
  3: bool deleted,
  4: string text,
}

// The reply to a heartbeat; `newer` is set if the holder's version is old.
struct Promise { 1: bool promised, 2: list<ObjectUpdate> newer }

struct ObjectUpdateBatch { 1: list<ObjectUpdate> items }

struct NodeLoad {
  1: string node,
  2: double load,
  3: i32 waiting,
  4: i64 stamp,
}

// Gossip: a node's digest of the object versions that it knows.  Only
// the reply has `buckets`, and only if both roots differ.
struct DigestSwap {
  1: i64 root,
  2: list<i64> buckets,
  3: list<NodeLoad> loads,
}

struct VersionEntry { 1: string name, 2: i64 version }

// Asks for all objects of some buckets that are newer than `versions`.
struct Pull { 1: list<i32> buckets, 2: list<VersionEntry> versions }

// `wanted` names the objects of which the asking node has newer versions.
struct PullAnswer { 1: list<ObjectUpdate> items, 2: list<string> wanted }

struct LedgerId { 1: string service_name, 2: i32 shard, 3: string request_id }

// Has a standby record request ids of the holder's ledger.
struct LedgerAppend { 1: string holder, 2: list<LedgerId> ids }

struct LedgerItem {
  1: LedgerId id,
  2: i32 age_ms,
  3: bool done,
  4: i32 status,
  5: list<Header> headers,
  6: binary body,
}

// Hands ledger entries of shards over to another owner.
struct LedgerHandover { 1: string source, 2: list<LedgerItem> items }

// A request of this fingerprint ran when a target died, or has been cleared.
struct StrikeNotice {
  1: i64 fingerprint,
  2: string incident,
  3: bool acquitted,
  4: i32 age_ms,
  5: bool repeated,
}

// Asks the receiver to hand over `wanted` shards of a service.
struct ShareRequest { 1: string node, 2: string service_name, 3: i32 wanted }

// An operator's command for the node that carries it out; `kind` names it.
struct OperatorCommand {
  1: string kind,
  2: string service_name,
  3: i32 shard,
  4: string target,
}

// Asks for a node's load, before a shard with the given load is moved there.
struct LoadQuery { 1: string service_name, 2: double load }

// A request, forwarded by the node that read it to the node that owns its key.
struct Relay {
  1: string request_id,
  2: string service_name,
  3: i32 key,
  4: string route,
  5: binary method,
  6: binary path,
  7: binary head,
  8: binary body,
  9: i32 left_ms,
  10: i32 aim_ms,
  11: i32 priority,
  12: bool repeatable,
  13: i64 sent_at,
  14: bool repeat,
  15: list<string> regions,
  16: bool nested,
  17: bool returning,
  18: string origin,
  19: double expected_ms,
  20: i64 fingerprint,
}

// The owner's reply: the target's answer, or an error with its verdict.
struct RelayAnswer {
  1: i32 status,
  2: binary head,
  3: binary body,
  4: bool failed,
  5: string verdict,
  6: string code,
  7: string text,
  8: i32 retry_after_ms,
  9: string owner,
  10: i32 ran_ms,
  11: double room_ms,
}

struct TableVersion { 1: string service_name, 2: i64 version }

// The state that a node broadcasts to all others several times a second.
struct MeshStatus {
  1: string node,
  2: string address,
  3: string service_name,
  4: string zone,
  5: string region,
  6: i32 slots,
  7: double wait_ms,
  8: double demand,
  9: i32 keys,
  10: bool ready,
  11: bool leaving,
  12: i64 config_version,
  13: list<TableVersion> tables,
  14: list<string> silent,
  15: i64 life,
  16: i64 sent_at,
  17: bool store_lost,
  18: list<string> silent_zones,
  19: i64 config_at,
  20: i64 config_age_ms,
  21: double pace,
  22: double acceptance,
  23: double work_ms,
  24: list<string> evacuated,
  25: i64 evacuated_at,
}

// Statuses of many nodes, as compressed JSON.  `forwarded` within a zone only.
struct MemberDigest { 1: binary entries, 2: bool packed, 3: bool forwarded }

// Asks for a digest of all live nodes that the receiver knows.
struct MembersQuery {}

// A one-way message that the receiver processes and, unless it is `forwarded`
// already, passes on to the other nodes of its zone.
struct ZoneBroadcast { 1: i32 code, 2: binary payload, 3: bool forwarded }

// A whole compressed table, or the rows that changed since version `base`.
struct TableUpdate {
  1: string service_name,
  2: i64 version,
  3: binary rows,
  4: i64 base,
  5: bool packed,
  6: list<i64> lives,
}
// A configuration, or its differences from version `base`; without a text only
// the version that the sender has.
struct ConfigUpdate {
  1: i64 version,
  2: binary text,
  3: bool packed,
  4: i64 base,
}

// Requests a table, or the configuration if `service_name` is empty; then
// `version` is the one that the sender has.
struct MeshPull { 1: string service_name, 2: i64 version }

// Asks the node that writes a service's table for changes, as JSON.
struct TableRequest { 1: string service_name, 2: binary changes }
// Whether they are stored; no version if the table could not be written.
struct TableWritten { 1: bool written, 2: i64 version }

// Asks which table version the peer has confirmed with the store, and when.
struct ProofQuery { 1: string service_name }
struct Proof { 1: i64 version, 2: i64 age_ms }

// Asks the previous owner of a span whether it has ceased to grant keys there.
struct ReleaseQuery {
  1: string service_name,
  2: i32 first,
  3: i32 last,
  4: i64 epoch,
}
struct ReleaseRow { 1: i32 first, 2: i32 last, 3: string token }
struct ReleaseReply { 1: bool known, 2: list<ReleaseRow> releases }

// Has a node hand a share of its load over to another node.
struct HandoverOrder {
  1: string service_name,
  2: string taker,
  3: double share,
}

// Retires all connections that the same process opened to this node earlier.
struct LinkTakeover {}
// The reply to a message of a call that has ended and is no longer kept.
struct CallEnded {}
