import dataclasses
import random

import hypothesis
import hypothesis.strategies as st
import pytest

from sequoiapoint.protocol import digests
from sequoiapoint.protocol.digests import (
    Digest,
    Member,
    Scope,
    ServerLimit,
    SpeedSample,
    TopicState,
)
from sequoiapoint.protocol.gateway import ModelDemand, StoreRecord

TEXT = st.text(max_size=8)
NUMBER = st.integers(0, 2**31)
INCARNATION = st.tuples(TEXT, NUMBER)
ADDRESS = st.builds("{}:{}".format, st.ip_addresses(), st.integers(1, 2**16 - 1))
MEMBERS = st.lists(st.builds(Member, TEXT, TEXT, ADDRESS), max_size=3).map(tuple)
DIGESTS = st.builds(
    Digest,
    host=TEXT,
    zone=TEXT,
    address=ADDRESS,
    started_ms=NUMBER,
    is_leaving=st.booleans(),
    configuration_end=st.integers(-1, 2**31),
    server_end=st.integers(-1, 2**31),
    is_store_reachable=st.booleans(),
    fence=NUMBER,
    counts=st.lists(st.tuples(INCARNATION, NUMBER), max_size=3).map(tuple),
    demands=st.lists(
        st.builds(
            ModelDemand,
            TEXT,
            TEXT,
            TEXT,
            NUMBER,
            NUMBER,
            st.integers(0, 9000).map(lambda ms: ms / 1000),
            st.integers(0, 255),
        ),
        max_size=3,
    ).map(tuple),
    holdings=st.lists(
        st.tuples(
            INCARNATION,
            st.dictionaries(TEXT, st.frozensets(TEXT, max_size=2), max_size=2),
        ),
        max_size=2,
    ).map(tuple),
    suspicions=st.lists(
        st.tuples(TEXT, st.frozensets(TEXT, max_size=2)), max_size=2
    ).map(tuple),
    repeated_crashes=st.lists(
        st.tuples(TEXT, st.frozensets(TEXT, max_size=2)), max_size=2
    ).map(tuple),
    cleared_requests=st.lists(TEXT, max_size=2).map(tuple),
    sent_at=st.none() | st.integers(0, 9000).map(lambda ms: ms / 1000),
    scope=st.sampled_from(Scope),
    host_count=NUMBER,
    members=MEMBERS,
    relays=MEMBERS,
    is_demand_report=st.booleans(),
    server_age_s=st.none() | st.integers(0, 9000).map(lambda ms: ms / 1000),
    suspect_parts=st.lists(
        st.tuples(TEXT, st.frozensets(NUMBER, max_size=3), st.booleans()), max_size=3
    ).map(tuple),
    limits=st.lists(
        st.builds(
            ServerLimit,
            INCARNATION,
            st.none() | st.floats(0, 1e6),
            st.integers(0, 9000).map(lambda ms: ms / 1000),
        ),
        max_size=3,
    ).map(tuple),
    live_zones=st.lists(TEXT, max_size=3).map(tuple),
    brittle=st.lists(
        st.builds(
            ServerLimit,
            INCARNATION,
            st.none() | st.floats(0, 1e6),
            st.integers(0, 9000).map(lambda ms: ms / 1000),
        ),
        max_size=3,
    ).map(tuple),
    fallen=st.lists(INCARNATION, max_size=3).map(tuple),
    speeds=st.lists(
        st.tuples(
            NUMBER,
            st.builds(
                SpeedSample,
                st.integers(1, 65_535).map(lambda n: n / 100),
                st.integers(0, 65_535).map(lambda n: n / 100),
                st.integers(0, 65_535).map(lambda n: n / 1000),
                st.integers(0, 65_535).map(lambda n: n / 10),
            ),
        ),
        max_size=3,
    ).map(tuple),
    turned_away=st.lists(
        st.tuples(INCARNATION, st.integers(0, 9000).map(lambda ms: ms / 1000)),
        max_size=3,
    ).map(tuple),
    contested=MEMBERS,
)


@hypothesis.given(DIGESTS)
def test_digest_round_trip(digest):
    assert digests.decode_digest(digests.encode_digest(digest)) == digest


@pytest.mark.parametrize(
    "data", [b"", b"\x00", b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 40]
)
def test_decoding_other_bytes_as_a_digest_fails(data):
    with pytest.raises(ValueError, match="not a digest"):
        digests.decode_digest(data)


def test_topic_state_round_trip():
    records = (StoreRecord(3, "a", b"x" * 100_000), StoreRecord(5, "b", None))
    state = TopicState(records, 6, is_complete=False)
    assert digests.decode_topic_state(digests.encode_topic_state(state)) == state


def test_the_speeds_of_60_servers_take_less_than_one_and_a_half_kilobytes():
    """They are sent in each digest, twice a second from every host."""
    rng = random.Random(1)
    speeds = tuple(
        (
            rng.randrange(2**31),
            SpeedSample(*(rng.uniform(0.5, 400.0) for _ in range(4))),
        )
        for _ in range(60)
    )
    digest = Digest("host", "zone", "10.0.0.1:1", 1)
    without = len(digests.encode_digest(digest))
    size = len(digests.encode_digest(dataclasses.replace(digest, speeds=speeds)))
    assert size - without < 1500


def test_a_speed_beyond_its_fields_is_cut():
    """Guards against a digest that cannot be encoded."""
    digest = Digest(
        "host", "zone", "10.0.0.1:1", 1, speeds=((1, SpeedSample(1e9, 1e9, 1e9, 1e9)),)
    )
    assert digests.decode_digest(digests.encode_digest(digest)).speeds[0][0] == 1
