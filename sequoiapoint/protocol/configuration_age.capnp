@0xb7d1a4c96e20f583;
# Messages about the age of the configuration, over UDP.

struct ConfigurationAgeMessage {
  number @0 :UInt64;            # Of a question: random; of a reply: the question's.
  union {
    question :group {
      host @1 :Text;            # The host that asks.
    }
    reply :group {
      version @2 :Int64;        # Of the configuration in force.
      ageMs @3 :UInt32;         # No newer version was acknowledged before that time.
    }
    notice :group {
      sender @4 :Text;          # The host that should be asked.
      noticeAgeMs @5 :UInt32;   # As in a reply, but no evidence.
    }
  }
}
