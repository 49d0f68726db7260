# The messages between daemons and the records on a member's disk. The Go struct of each struct here is in
# package wire under its name without the C (IdentityC is TargetID), with the same fields: their comments are
# there. A field's ordinal is its position in all messages and records: it never changes, and new fields come
# at the end. gen.sh generates msg.capnp.go.
using Go = import "/go.capnp";
@0xb6d1f0c2a94e7713;
$Go.package("wire");
$Go.import("myrtlefold/internal/shared/wire");

# A message between daemons: exactly the part of its kind is set.
struct MessageC {
  kind @0 :UInt16;
  from @1 :Text;
  to @2 :Text;
  disk @3 :UInt64;
  epoch @4 :UInt64;
  term @5 :UInt64;
  timestamp @6 :Int64;
  hello @7 :HelloC;
  vote @8 :VoteC;
  append @9 :AppendC;
  pull @10 :PullC;
  push @11 :PushC;
  heartbeat @12 :TargetC;
  call @13 :CallC;
}

# A control daemon or a proxy, as it describes itself.
struct DaemonC {
  name @0 :Text;
  kind @1 :Text;
  domain @2 :Text;
  addr @3 :Text;
  http @4 :Text;
  incarnation @5 :UInt64;
  disk @6 :UInt64;
  epoch @7 :UInt64;
  bootstrapLock @8 :UInt64;
  ready @9 :Bool;
  state @10 :Text;
  bootstrapOffer @11 :UInt64;
}

# Discovery: the sender, the daemons that it knows of, and the leader.
struct HelloC {
  self @0 :DaemonC;
  daemons @1 :List(DaemonC);
  reply @2 :Bool;
  leader @3 :Text;
  term @4 :UInt64;
  recoveredState @5 :Data;
  members @6 :List(MemberC);
  membersEpoch @7 :UInt64;
  membersIndex @8 :UInt64;
  bootstrapEpoch @9 :UInt64;
  lostMembers @10 :List(Text);
  recoveryConsent @11 :Bool;
}

# A request for a vote, or the response.
struct VoteC {
  preVote @0 :Bool;
  reply @1 :Bool;
  granted @2 :Bool;
  lastIndex @3 :UInt64;
  lastTerm @4 :UInt64;
  transfer @5 :Bool;
  unanimous @6 :Bool;
  noLeader @7 :Bool;
}

# An entry of the replicated log.
struct EntryC {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt16;
  data @3 :Data;
}

# A member of the control plane: a daemon on one disk.
struct MemberC {
  name @0 :Text;
  disk @1 :UInt64;
}

# The state after the log's entry index, in place of all entries up to it.
struct SnapshotC {
  index @0 :UInt64;
  term @1 :UInt64;
  members @2 :List(MemberC);
  data @3 :Data;
}

# A leader's heartbeat with log entries or a chunk, or the response.
struct AppendC {
  reply @0 :Bool;
  success @1 :Bool;
  prevIndex @2 :UInt64;
  prevTerm @3 :UInt64;
  commit @4 :UInt64;
  matchIndex @5 :UInt64;
  entries @6 :List(EntryC);
  snap @7 :SnapshotC; # unused: snapshots are sent in chunks
  chunk @8 :ChunkC;
}

# A part of a snapshot, or of one log entry that is too large for one message. In a response:
# how many bytes the receiver has, as offset, without data.
struct ChunkC {
  isEntry @0 :Bool;
  index @1 :UInt64;
  term @2 :UInt64;
  kind @3 :UInt16;
  members @4 :List(MemberC);
  size @5 :UInt64;
  checksum @6 :UInt64;
  offset @7 :UInt64;
  data @8 :Data;
}

# A target as daemons describe it to each other. Times left are in ns.
struct TargetC {
  service @0 :Text;
  name @1 :Text;
  incarnation @2 :UInt64;
  addr @3 :Text;
  domain @4 :Text;
  state @5 :Text;
  demand @6 :Float64;
  hasDemand @7 :Bool;
  draining @8 :Bool;
  ejectionLeft @9 :Int64;
  ejectedBy @10 :Text;
  pending @11 :Bool;
  heartbeating @12 :Bool;
  shareOffset @13 :UInt32;
  slots @14 :UInt32;
  warmupLeft @15 :Int64;
  number @16 :UInt64;
}

# What one proxy observed of one target since its last report.
struct TargetStatsC {
  service @0 :Text;
  name @1 :Text;
  incarnation @2 :UInt64;
  successes @3 :UInt32;
  errors @4 :UInt32;
  totalMs @5 :Float64;
  demand @6 :Float64;
  hasDemand @7 :Bool;
  slow @8 :UInt32;
  rejected @9 :UInt32;
  probeAnswered @10 :Bool;
}

# A table's order: epoch, then term, then version.
struct TableKeyC {
  epoch @0 :UInt64;
  term @1 :UInt64;
  version @2 :UInt64;
}

# A proxy as a table lists it.
struct ProxyC {
  name @0 :Text;
  addr @1 :Text;
  domain @2 :Text;
  live @3 :Bool;
}

# What proxies route by, complete or as a delta to the table deltaBase.
struct TableC {
  key @0 :TableKeyC;
  stateIndex @1 :UInt64;
  revision @2 :UInt64;
  document @3 :Data;
  state @4 :Data;
  proxies @5 :List(ProxyC);
  emptiedDomains @6 :List(Text);
  targets @7 :List(TargetC);
  previousProxies @8 :List(Text);
  deltaBase @9 :TableKeyC;
  removedTargets @10 :List(IdentityC);
  departedProxies @11 :List(Text);
}

# A target's identity.
struct IdentityC {
  service @0 :Text;
  name @1 :Text;
  incarnation @2 :UInt64;
}

# A proxy's request for its table and lease.
struct PullC {
  self @0 :DaemonC;
  key @1 :TableKeyC;
  stats @2 :List(TargetStatsC);
  table @3 :TableC;
  revision @4 :UInt64;
  stateIndex @5 :UInt64;
  wantTable @6 :Bool;
}

# The response to a pull.
struct PushC {
  leaseGranted @0 :Bool;
  wantTable @1 :Bool;
  key @2 :TableKeyC;
  table @3 :TableC;
  probeTargets @4 :List(IdentityC);
}

# An HTTP call that a member forwards to the leader, or the response.
struct CallC {
  id @0 :UInt64;
  reply @1 :Bool;
  method @2 :Text;
  path @3 :Text;
  query @4 :Text;
  body @5 :Data;
  status @6 :UInt16;
  retryAfterMs @7 :UInt32;
  token @8 :Text;
}

# What a member writes to its disk at once: the form of a record on disk.
struct BatchC {
  seq @0 :UInt64;
  reset @1 :Bool;
  epoch @2 :UInt64;
  disk @3 :UInt64;
  hasHardState @4 :Bool;
  term @5 :UInt64;
  vote @6 :Text;
  truncateFrom @7 :UInt64;
  entries @8 :List(EntryC);
  snapshot @9 :SnapshotC;
  bootstrapLock @10 :UInt64;
  recoveredState @11 :Data;
  founders @12 :List(MemberC);
  bootstrapEpoch @13 :UInt64;
}
