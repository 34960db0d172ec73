import hypothesis
import hypothesis.strategies as st
import pytest

from sequoiapoint.protocol.origins import (
    KEY_BYTES,
    RECORD_FORMAT,
    Origin,
    OriginBatch,
    OriginGroup,
    OriginQuery,
    OriginRecord,
    OriginReply,
    VersionHistory,
    decode_origin_message,
    decode_origin_record,
    decode_version_history,
    encode_origin_message,
    encode_origin_record,
    encode_version_history,
    stream_key,
)

TEXT = st.text(max_size=12)
NUMBER = st.integers(0, 2**63)
SECONDS = st.integers(0, 90_000).map(lambda ms: ms / 1000)
ORIGIN = st.builds(Origin, TEXT, st.tuples(TEXT, st.integers(0, 2**62)), SECONDS)
KEYS = st.lists(st.binary(min_size=KEY_BYTES, max_size=KEY_BYTES), max_size=4).map(
    tuple
)
GROUPS = st.one_of(
    st.builds(OriginGroup, TEXT, KEYS),
    st.builds(
        OriginGroup,
        TEXT,
        KEYS,
        st.tuples(st.text(min_size=1, max_size=9), st.integers(0, 2**62)),
        SECONDS,
    ),
)
BATCHES = st.builds(
    OriginBatch, st.lists(GROUPS, max_size=3).map(tuple), st.integers(0, 2**62)
)
MESSAGES = st.one_of(
    BATCHES,
    st.builds(OriginRecord, TEXT, ORIGIN),
    st.builds(OriginQuery, TEXT, NUMBER),
    st.builds(OriginReply, TEXT, NUMBER, ORIGIN),
)


@hypothesis.given(MESSAGES)
def test_message_round_trip(message):
    assert decode_origin_message(encode_origin_message(message)) == message


@pytest.mark.parametrize("data", [b"\xfd", b"\xfdabc", b"\xfd" + b"\xff" * 40])
def test_other_bytes_are_not_a_message(data):
    with pytest.raises(ValueError, match="not a message about origins"):
        decode_origin_message(data)


@hypothesis.given(BATCHES)
def test_record_round_trip(batch):
    assert decode_origin_record(encode_origin_record(batch)) == batch


UNCERTAIN = OriginGroup("v1", (b"k" * KEY_BYTES,), ("", 0))
RECORD = encode_origin_record(OriginBatch((OriginGroup("v1", (b"k" * KEY_BYTES,)),)))


@pytest.mark.parametrize(
    "data",
    [
        b"",
        RECORD_FORMAT,
        RECORD_FORMAT + b"\xff" * 40,
        RECORD[:-3],
        # Written by a newer build in another format.
        b"\x02" + RECORD[1:],
        # Without the fields that make a version certain or name a process.
        encode_origin_record(OriginBatch((UNCERTAIN,))),
        encode_origin_record(OriginBatch((OriginGroup("v1", (b"short",)),))),
    ],
)
def test_a_malformed_record_is_not_read(data):
    with pytest.raises(ValueError, match="record|format|certain|bytes"):
        decode_origin_record(data)


@hypothesis.given(st.binary(max_size=60))
@pytest.mark.parametrize("decode", [decode_origin_record, decode_version_history])
def test_no_bytes_of_a_record_raise_another_error(decode, data):
    for content in (data, RECORD_FORMAT + data):
        try:
            decode(content)
        except ValueError:
            pass


@hypothesis.given(st.integers(-1, 2**62), st.dictionaries(TEXT, TEXT, max_size=4))
def test_version_history_round_trip(position, versions):
    history = VersionHistory(position, versions)
    assert decode_version_history(encode_version_history(history)) == history


def test_streams_of_different_services_have_different_keys():
    keys = {stream_key("lm", "a"), stream_key("lm", "b"), stream_key("web", "a")}
    assert len(keys) == 3
    assert len(stream_key("lm", "\udcff")) == KEY_BYTES
