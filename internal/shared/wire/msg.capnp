# What the daemons say to one another: one message struct, one part per kind.
# The Go side of each struct stands in the wire package under the same name.
using Go = import "/go.capnp";
@0xb6d1f0c2a94e7713;
$Go.package("wire");
$Go.import("myrtlefold/wire");

struct MsgC {
  kind @0 :UInt16;
  from @1 :Text;
  to @2 :Text;
  disk @3 :UInt64;
  epoch @4 :UInt64;
  term @5 :UInt64;
  stamp @6 :Int64;
  hello @7 :HelloC;
  vote @8 :VoteC;
  append @9 :AppendC;
  pull @10 :PullC;
  push @11 :PushC;
  beat @12 :TargetC;
  ask @13 :AskC;
}
struct DaemonC {
  name @0 :Text;
  kind @1 :Text;
  domain @2 :Text;
  addr @3 :Text;
  http @4 :Text;
  inc @5 :UInt64;
  disk @6 :UInt64;
  epoch @7 :UInt64;
  lock @8 :UInt64;
  ready @9 :Bool;
  state @10 :Text;
  offer @11 :UInt64;
}
struct HelloC {
  self @0 :DaemonC;
  known @1 :List(DaemonC);
  reply @2 :Bool;
  leader @3 :Text;
  term @4 :UInt64;
  legacy @5 :Data;
  members @6 :List(MemberC);
  membersEpoch @7 :UInt64;
  membersIndex @8 :UInt64;
  founding @9 :UInt64;
  gone @10 :List(Text);
  refound @11 :Bool;
}
struct VoteC {
  pre @0 :Bool;
  reply @1 :Bool;
  granted @2 :Bool;
  lastIndex @3 :UInt64;
  lastTerm @4 :UInt64;
  transfer @5 :Bool;
  all @6 :Bool;
  alone @7 :Bool;
}
struct EntryC {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt16;
  data @3 :Data;
}
struct MemberC {
  name @0 :Text;
  disk @1 :UInt64;
}
struct SnapC {
  index @0 :UInt64;
  term @1 :UInt64;
  members @2 :List(MemberC);
  data @3 :Data;
}
struct AppendC {
  reply @0 :Bool;
  ok @1 :Bool;
  prevIndex @2 :UInt64;
  prevTerm @3 :UInt64;
  commit @4 :UInt64;
  match @5 :UInt64;
  entries @6 :List(EntryC);
  snap @7 :SnapC; # unused: snapshots go in pieces
  piece @8 :PieceC;
}
# A part of a snapshot, or of one log entry that is too large for one message. In a reply: how
# much of it the receiver holds, as offset, without data.
struct PieceC {
  entry @0 :Bool;
  index @1 :UInt64;
  term @2 :UInt64;
  kind @3 :UInt16;
  members @4 :List(MemberC);
  size @5 :UInt64;
  sum @6 :UInt64;
  offset @7 :UInt64;
  data @8 :Data;
}
struct TargetC {
  service @0 :Text;
  name @1 :Text;
  inc @2 :UInt64;
  addr @3 :Text;
  domain @4 :Text;
  state @5 :Text;
  demand @6 :Float64;
  hasDemand @7 :Bool;
  held @8 :Bool;
  barLeft @9 :Int64;
  barWhy @10 :Text;
  pending @11 :Bool;
  beating @12 :Bool;
  turn @13 :UInt32;
  slots @14 :UInt32;
  coldLeft @15 :Int64;
  number @16 :UInt64;
}
struct SeenC {
  service @0 :Text;
  name @1 :Text;
  inc @2 :UInt64;
  ok @3 :UInt32;
  errors @4 :UInt32;
  sumMs @5 :Float64;
  demand @6 :Float64;
  hasDemand @7 :Bool;
  slow @8 :UInt32;
  notRun @9 :UInt32;
  alive @10 :Bool;
}
struct KeyC {
  epoch @0 :UInt64;
  term @1 :UInt64;
  ver @2 :UInt64;
}
struct GateC {
  name @0 :Text;
  addr @1 :Text;
  domain @2 :Text;
  live @3 :Bool;
}
struct TableC {
  key @0 :KeyC;
  seq @1 :UInt64;
  revision @2 :UInt64;
  doc @3 :Data;
  state @4 :Data;
  gates @5 :List(GateC);
  emptied @6 :List(Text);
  targets @7 :List(TargetC);
  was @8 :List(Text);
  base @9 :KeyC;
  gone @10 :List(IdC);
}
struct IdC {
  service @0 :Text;
  name @1 :Text;
  inc @2 :UInt64;
}
struct PullC {
  self @0 :DaemonC;
  key @1 :KeyC;
  seen @2 :List(SeenC);
  table @3 :TableC;
  revision @4 :UInt64;
  seq @5 :UInt64;
  want @6 :Bool;
}
struct PushC {
  grant @0 :Bool;
  want @1 :Bool;
  key @2 :KeyC;
  table @3 :TableC;
  probe @4 :List(IdC);
}
struct AskC {
  id @0 :UInt64;
  reply @1 :Bool;
  method @2 :Text;
  path @3 :Text;
  query @4 :Text;
  body @5 :Data;
  status @6 :UInt16;
  retryMs @7 :UInt32;
  token @8 :Text;
}
struct BatchC {
  seq @0 :UInt64;
  fresh @1 :Bool;
  epoch @2 :UInt64;
  disk @3 :UInt64;
  hard @4 :Bool;
  term @5 :UInt64;
  vote @6 :Text;
  cut @7 :UInt64;
  entries @8 :List(EntryC);
  snap @9 :SnapC;
  lock @10 :UInt64;
  legacy @11 :Data;
  founders @12 :List(MemberC);
  founding @13 :UInt64;
}
