// Messages between nodes. Regenerate with extras/generate_thrift.sh.
namespace py comfreyusher.peering.gen

// Headers are lists of name and value pairs.
struct WorkKey { 1: string node; 2: i64 number }
struct RequestHead {
  1: string method; 2: string target; 3: list<list<binary>> headers; 4: string version
}
struct AnswerHead { 1: i32 status; 2: list<list<binary>> headers; 3: string reason }

struct Challenge { 1: binary nonce }
struct Hello { 1: string node; 2: binary proof }
struct Ping { 1: bool reply }

struct Offer {
  1: WorkKey key; 2: string group; 3: string work_class; 4: i64 remaining_ms;
  5: bool idempotent; 6: string request_id; 7: string fingerprint;
  8: string trace_parent; 9: RequestHead head; 10: binary body; 11: bool ended
}
struct OfferBody { 1: WorkKey key; 2: binary body; 3: bool ended }
struct OfferCredit { 1: WorkKey key; 2: i64 size_bytes }
struct Withdraw { 1: WorkKey key }
struct Refusal {
  1: WorkKey key; 2: string outcome; 3: i32 status; 4: string reason;
  5: i64 retry_after_ms
}
struct Result {
  1: WorkKey key; 2: string upstream; 3: AnswerHead head; 4: binary body;
  5: bool ended; 6: double queued_ms; 7: i32 attempts
}
struct ResultBody { 1: WorkKey key; 2: binary body; 3: bool ended }
struct ResultCredit { 1: WorkKey key; 2: i64 size_bytes }

struct HandOver {
  1: WorkKey key; 2: string customer; 3: RequestHead head; 4: binary body;
  5: bool ended
}
struct HandOverBody { 1: WorkKey key; 2: binary body; 3: bool ended }
struct HandOverGone { 1: WorkKey key }

struct OpinionAsked {
  1: string asker; 2: string upstream; 3: string host; 4: i32 port
}
struct OpinionGiven { 1: string upstream; 2: bool reachable }
struct PoisonHeard { 1: string fingerprint; 2: i64 period_ms }
struct OffsetHeard { 1: string node; 2: i64 offset }
struct OffsetAsked { 1: string asker }
struct RecordsAsked { 1: string asker; 2: i64 after_offset }
struct RecordsGiven {
  1: i64 after_offset; 2: i64 offset; 3: bool whole; 4: bool last;
  5: list<string> declarations
}
struct CopyAsked {
  1: string origin; 2: i64 batch; 3: i64 logged; 4: list<binary> entries
}
struct CopyStored { 1: string holder; 2: i64 batch }

struct Envelope {
  1: optional Challenge challenge; 2: optional Hello hello; 3: optional Ping ping;
  10: optional Offer offer; 11: optional OfferBody offer_body;
  12: optional OfferCredit offer_credit; 13: optional Withdraw withdraw;
  14: optional Refusal refusal; 15: optional Result result;
  16: optional ResultBody result_body; 17: optional ResultCredit result_credit;
  20: optional HandOver hand_over; 21: optional HandOverBody hand_over_body;
  22: optional HandOverGone hand_over_gone;
  30: optional OpinionAsked opinion_asked; 31: optional OpinionGiven opinion_given;
  32: optional PoisonHeard poison_heard; 33: optional OffsetHeard offset_heard;
  34: optional RecordsAsked records_asked; 35: optional RecordsGiven records_given;
  38: optional OffsetAsked offset_asked; 36: optional CopyAsked copy_asked; 37: optional CopyStored copy_stored
}

struct MemberRecord {
  1: string node; 2: string name; 3: string host; 4: i32 gossip_port;
  5: i32 peer_port; 6: string data_centre; 7: string region;
  8: i64 incarnation; 9: i32 standing; 10: i64 version; 11: i64 offset
}
struct GossipMessage {
  1: string sender; 2: i32 kind; 3: i64 sequence; 4: string target;
  5: list<MemberRecord> members; 6: i64 offset
}
