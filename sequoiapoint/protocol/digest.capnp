@0xb7c4d1e2f3a59681;
# Messages between gateway hosts.

struct Count {
  server @0 :Text;
  startedMs @1 :Int64;
  running @2 :UInt32;
}

struct Process {
  server @0 :Text;
  startedMs @1 :Int64;
}

struct Demand {
  service @0 :Text;
  model @1 :Text;
  adapter @2 :Text;
  inWork @3 :UInt32;
  waiting @4 :UInt32;
  goalMs @5 :UInt32;
  priority @6 :UInt8;
  unservedMs @7 :UInt32;
}

struct HeldModel {
  model @0 :Text;
  adapters @1 :List(Text);
}

struct Holding {
  server @0 :Text;
  startedMs @1 :Int64;
  models @2 :List(HeldModel);
}

struct SuspectPart {
  part @0 :Text;                # Id of a part of prompts.
  crashes @1 :List(UInt32);     # Engine processes that crashed with it in flight; the
                                # lowest bit: it was a suspect when the request was sent.
  isCleared @2 :Bool;           # A request with it has been answered since.
}

struct ServerAge {
  server @0 :Text;
  startedMs @1 :Int64;
  ageMs @2 :UInt32;             # Since something was seen at the server.
}

struct Limit {
  server @0 :Text;
  startedMs @1 :Int64;
  perS @2 :Float64;             # Requests a second from all hosts; -1 for no limit.
  ageMs @3 :UInt32;             # Since the response that said so.
}

struct Speed {
  process @0 :UInt32;           # Number of the server process.
  slownessPercent @1 :UInt16;   # What it stated last; 100 is its usual time.
  ageCs @2 :UInt16;             # Hundredths of a second since then.
  workPermille @3 :UInt16;      # Mean observed time at its usual speed, relative to the
                                # time expected of the requests.
  samples @4 :UInt16;           # Tenths of the observations in the mean.
}

struct Suspicion {
  fingerprint @0 :Text;
  deaths @1 :List(Text);
}

struct Member {
  host @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  capacity @3 :UInt32;          # Thousandths of a core.
}

enum Scope {
  host @0;    # Counts of the sending host alone.
  zone @1;    # Totals of the sender's zone, sent to the other zones.
  fleet @2;   # Totals of all zones, sent to the hosts of the sender's zone.
  none @3;    # The digest carries no counts.
}

struct Digest {
  # Sent over UDP; any list may be empty.
  host @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  startedMs @3 :Int64;
  isLeaving @4 :Bool;
  configurationEnd @5 :Int64;   # Offset after the last known record of the topic.
  serverEnd @6 :Int64;
  isStoreReachable @7 :Bool;
  fence @8 :Int64;              # The leader's fencing token; 0 for other hosts.
  counts @9 :List(Count);
  demands @10 :List(Demand);
  holdings @11 :List(Holding);
  suspicions @12 :List(Suspicion);
  scope @13 :Scope;
  hostCount @14 :UInt32;        # Number of hosts that the counts cover.
  members @15 :List(Member);    # Hosts of the zone, sent by the zone's aggregator.
  relays @16 :List(Member);     # Aggregators and their successors, of each zone.
  isDemandReport @17 :Bool;     # Whether the demands replace those of the last report.
  isHeartbeat @18 :Bool;        # Whether the lists of the sender's last digest stand.
  capacity @19 :UInt32;         # The sender's, in thousandths of a core.
  leavingServers @20 :List(Process); # Servers that have announced that they leave.
  serverAgeMs @21 :Int64 = -1;  # Since the last read of the servers; -1 if not known.
  suspectParts @22 :List(SuspectPart);
  limits @23 :List(Limit);      # Limits that servers have named, and ended ones.
  liveZones @24 :List(Text);    # Zones with live hosts, sent by an aggregator.
  brittle @25 :List(Limit);     # Requests a second that brittle servers can turn away.
  fallen @26 :List(Process);    # Servers that fell over for want of room.
  turnedAway @27 :List(ServerAge); # Brittle servers that have turned requests away.
  contested @28 :List(Member);  # Aggregators beside which others aggregate.
  speeds @29 :List(Speed);      # How long work takes at servers, from the counted hosts.
  repeatedCrashes @30 :List(Suspicion); # Of servers that were sent a suspect request.
  clearedRequests @31 :List(Text); # Fingerprints of suspects that were answered.
  sentMs @32 :Int64 = -1;       # By the sender's clock since boot; -1 if not stated.
}

struct Record {
  offset @0 :Int64;
  key @1 :Text;
  value @2 :Data;               # Empty if the key was deleted.
}

struct TopicState {
  # Fetched from a peer over TCP: the latest record of each key of a topic, or only of
  # the keys that have changed since the requested offset.
  end @0 :Int64;
  records @1 :List(Record);
  isWhole @2 :Bool;
  ageMs @3 :Int64 = -1;         # Since the last read of the store; -1 if not known.
}
