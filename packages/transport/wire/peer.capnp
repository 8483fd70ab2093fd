# The messages between nodes. Each encodes a C++ type; the codecs in this folder pair the fields.
@0xad4b87e04410a0d2;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("boragetrack::transport::wire::schema");

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct CallRequest {
  method @0 :Text;
  target @1 :Text;
  headers @2 :List(Header);
  body @3 :Data;
  route @4 :Text;
  service @5 :Text;
  version @6 :Text;
  idempotent @7 :Bool;
  key @8 :Text;
  budgetMicros @9 :UInt64;
  hops @10 :UInt16;
  attempt @11 :UInt16;
  requestId @12 :Text;
  callerService @13 :Text;
  priority @14 :UInt16;
  objectiveMicros @15 :Int64;
  nested @16 :Bool;
  # Calls per second to a cold upstream by the sender's intent; zero for no limit, negative if the sender doesn't tell.
  coldRate @17 :Float64 = -1;
  # The organisation that the request belongs to; empty if there is none.
  organisation @18 :Text;
  # The revision of the intent in force on the sender when it sends the call; zero if it does not tell.
  intent @19 :UInt64;
}

struct CallAnswer {
  outcome @0 :UInt8;
  status @1 :UInt16;
  headers @2 :List(Header);
  body @3 :Data;
  reason @4 :Text;
  claimHolder @5 :Text;
  version @6 :Text;
  inFlight @7 :UInt16;
  queued @8 :UInt16;
  limit @9 :UInt16;
  # Negative if the response gives no time after which to retry.
  retryAfterMillis @10 :Int32 = -1;
  reachedUpstream @11 :Bool;
  servedMicros @12 :UInt32;
  # Estimated wait of a call of each priority rank.
  waitMicros @13 :List(UInt32);
  # The revision of the intent in force on the upstream's node; zero if it does not tell.
  intent @14 :UInt64;
  outdated @15 :Bool;
}

struct Address {
  host @0 :Text;
  port @1 :UInt16;
}

# An announcement of an upstream; null or without an instance where there is none.
struct Announcement {
  instance @0 :Text;
  sequence @1 :UInt64;
  # Milliseconds since 1970; zero if unknown.
  startedAtMillis @2 :UInt64;
}

struct Member {
  id @0 :Text;
  dataCentre @1 :Text;
  peerAddress @2 :Address;
  operatorAddress @3 :Address;
  generation @4 :UInt64;
  sequence @5 :UInt32;
  state @6 :UInt8;
  service @7 :Text;
  version @8 :Text;
  upstreamState @9 :UInt8;
  slots @10 :UInt16;
  departure @11 :Announcement;
}

struct Suspicion {
  subject @0 :Text;
  generation @1 :UInt64;
  sequence @2 :UInt32;
  observer @3 :Text;
}

struct Verdict {
  moveId @0 :Text;
  evidence @1 :Text;
}

struct Evidence {
  moveId @0 :Text;
  route @1 :Text;
  version @2 :Text;
  node @3 :Text;
  generation @4 :UInt64;
  calls @5 :UInt32;
  failures @6 :UInt32;
  broken @7 :UInt32;
  latencies @8 :List(UInt32);
}

struct Exchange {
  sender @0 :Text;
  revision @1 :UInt64;
  receiverFloor @2 :UInt64;
  memberDigest @3 :UInt64;
  members @4 :List(Member);
  suspicions @5 :List(Suspicion);
  verdicts @6 :List(Verdict);
  evidence @7 :List(Evidence);
  follower @8 :Bool;
  asksForNews @9 :Bool;
  receiverDeparture @10 :Announcement;
  # The generation of the earliest process of the receiver that the sender has known; zero if none.
  receiverKnownSince @11 :UInt64;
  senderAddress @12 :Address;
  # The time since the sender's last contact with the durable store; negative if it has had none.
  storeContactMillis @13 :Int64 = -1;
  requestsStoreRead @14 :Bool;
  # The time since the sender has held its revision; negative if it does not tell.
  revisionMillis @15 :Int64 = -1;
  # The operators' number of the intent in force on the sender; zero if it has none or does not tell.
  intentNumber @16 :UInt64;
}

struct IntentTransfer {
  target @0 :UInt64;
  base @1 :UInt64;
  textHash @2 :UInt64;
  payload @3 :Text;
  # The payload in zlib format (RFC 1950), instead of the plain one.
  packed @4 :Data;
}

struct UsageCount {
  organisation @0 :Text;
  requests @1 :UInt64;
}

struct UsageWindow {
  number @0 :UInt64;
  counts @1 :List(UsageCount);
  # Whether the counts of this window do not change any more.
  final @2 :Bool;
}

struct UsageSnapshot {
  node @0 :Text;
  generation @1 :UInt64;
  # The number of the snapshot within the process; a higher one replaces a lower one.
  sequence @2 :UInt64;
  windows @3 :List(UsageWindow);
}

interface Peer {
  call @0 (request :CallRequest) -> (answer :CallAnswer);
  exchange @1 (request :Exchange) -> (answer :Exchange);
  pushIntent @2 (sender :Text, transfer :IntentTransfer) -> (revision :UInt64);
  fetchIntent @3 (have :UInt64) -> (transfer :IntentTransfer);
  fetchMembers @4 (hashes :List(UInt64)) -> (members :List(Member));
  claim @5 (key :Text, claimant :Text) -> (holder :Text);
  release @6 (key :Text, claimant :Text) -> ();
  # Responds when the node is about to close its links: the sender sends no further request on this one.
  awaitClosing @7 () -> ();
  # The response names the last window that is reported; zero if none is known to be.
  reportUsage @8 (snapshot :UsageSnapshot) -> (reportedThrough :UInt64);
}
