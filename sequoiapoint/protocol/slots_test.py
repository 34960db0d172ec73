import hypothesis
import hypothesis.strategies as st
import pytest

from sequoiapoint.protocol import digests, slots

TEXT = st.text(max_size=8)
NUMBER = st.integers(0, 2**63)
ENGINE = st.tuples(TEXT, st.integers(0, 2**40))
MESSAGES = st.one_of(
    st.builds(
        slots.SlotRequest,
        TEXT,
        NUMBER,
        st.lists(TEXT, max_size=3).map(tuple),
        st.integers(0, slots.MAX_PRIORITY),
        st.integers(0, 60_000).map(lambda ms: ms / 1000),
        st.integers(0, 60_000).map(lambda ms: ms / 1000),
        TEXT,
    ),
    st.builds(
        slots.SlotReply,
        TEXT,
        NUMBER,
        st.sampled_from(slots.SlotOutcome),
        ENGINE,
        st.integers(0, 60_000).map(lambda ms: ms / 1000),
    ),
    st.builds(
        slots.SlotRelease,
        TEXT,
        NUMBER,
        ENGINE,
        st.sampled_from(slots.SlotQuality),
        st.none() | st.integers(1, slots.MAX_PERCENT).map(lambda n: n / 100),
        st.none() | st.floats(0.125, 100.0, width=32),
    ),
)


@hypothesis.given(MESSAGES)
def test_slot_message_round_trip(message):
    data = slots.encode_slot_message(message)
    assert data.startswith(slots.PREFIX)
    assert slots.decode_slot_message(data) == message


def test_a_wait_and_a_slowness_beyond_their_fields_are_cut():
    """Guards against a message that cannot be encoded, which would end a request."""
    reply = slots.SlotReply("h", 1, slots.SlotOutcome.QUEUED, wait_s=1e9)
    release = slots.SlotRelease("h", 1, slowness=1e9)
    for message in (reply, release):
        slots.decode_slot_message(slots.encode_slot_message(message))


@pytest.mark.parametrize("data", [b"\xff", b"\xffGET / HTTP/1.1", b"\xff" * 40])
def test_decoding_other_bytes_fails(data):
    with pytest.raises(ValueError, match="not a slot message"):
        slots.decode_slot_message(data)


def test_a_digest_does_not_begin_like_a_slot_message():
    digest = digests.Digest("host", "zone", "10.0.0.1:1", 1)
    assert not digests.encode_digest(digest).startswith(slots.PREFIX)
