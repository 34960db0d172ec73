@0xb7a40f2e93c1d658;
# Requests that a host cut off from servers sends through another host, over TCP.

struct Header {
  name @0 :Data;
  value @1 :Data;
}

struct DetourRequest {
  origin @0 :Text;                # The host that took the request from its caller.
  configurationVersion @1 :Int64; # In force there when the route was found.
  remainingMs @2 :Int64;          # Time for which the caller still waits.
  attemptsLeft @3 :UInt32;
  isRetry @4 :Bool;               # Whether the request has been sent to a server.
  requestId @5 :Text;
  method @6 :Text;
  host @7 :Text;
  target @8 :Text;
  headers @9 :List(Header);
  body @10 :Data;
  model @11 :Text;
  adapter @12 :Text;
  promptTokens @13 :Int64;
  sharedParts @14 :List(Text);
  lastEventId @15 :Text;
  resumes @16 :Text;              # Id of the attempt that began a resumed stream.
  areKeysInForce @17 :Bool;       # Whether the origin has decided on a key; the headers
                                  # are then without it.
  organisation @18 :Text;         # For which the request was admitted; empty for none.
  keyDigest @19 :Data;            # Of the caller's key; empty without one.
  tokens @20 :Int64 = -1;         # That the request may take; -1 if not stated.
}

struct DetourReply {
  attempts @0 :UInt32;            # How often the helper has sent it to servers so far.
  union {
    response :group {             # Of a server; the body follows.
      status @1 :UInt16;
      headers @2 :List(Header);
      isStream @3 :Bool;
    }
    refusal :group {              # The request has not been run and will not be.
      status @4 :UInt16;
      reason @5 :Text;
      retryAfterMs @6 :Int64;     # -1 for none.
    }
    unknown :group {              # The request may have been run.
      reason @7 :Text;
    }
  }
}
