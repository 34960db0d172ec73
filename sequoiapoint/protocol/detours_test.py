import hypothesis
import hypothesis.strategies as st
import pytest

from sequoiapoint.protocol.detours import (
    DetourRequest,
    RefusalReply,
    ServerReply,
    UnknownReply,
    decode_detour_reply,
    decode_detour_request,
    encode_detour_reply,
    encode_detour_request,
)
from sequoiapoint.protocol.gateway import CallerRequest

TEXT = st.text(max_size=12)
BYTES = st.binary(max_size=12)
COUNT = st.integers(0, 9)
STATUS = st.integers(200, 599)
OTHER_STATUS = st.integers(0, 199) | st.integers(600, 65_535)
SECONDS = st.integers(0, 90_000).map(lambda ms: ms / 1000)
HEADERS = st.lists(st.tuples(BYTES, BYTES), max_size=3).map(tuple)
CALLER_REQUESTS = st.builds(
    CallerRequest,
    request_id=TEXT,
    method=TEXT,
    host=TEXT,
    target=TEXT,
    headers=HEADERS,
    body=st.binary(max_size=60),
    budget_s=st.none(),
    model=TEXT,
    adapter=TEXT,
    prompt_tokens=st.integers(0, 2**40),
    last_event_id=TEXT,
    shared_parts=st.lists(TEXT, max_size=3).map(tuple),
    resumes=TEXT,
    tokens=st.none() | st.integers(0, 2**40),
    key_digest=BYTES,
    organisation=st.none() | TEXT,
)
REQUESTS = st.builds(
    DetourRequest, TEXT, COUNT, SECONDS, COUNT, st.booleans(), CALLER_REQUESTS
)
REPLIES = st.one_of(
    st.builds(ServerReply, STATUS, HEADERS, st.booleans(), COUNT),
    st.builds(RefusalReply, STATUS, TEXT, st.none() | SECONDS, COUNT),
    st.builds(UnknownReply, TEXT, COUNT),
)


@hypothesis.given(REQUESTS)
def test_request_round_trip(request):
    assert decode_detour_request(encode_detour_request(request)) == request


@hypothesis.given(REPLIES)
def test_reply_round_trip(reply):
    assert decode_detour_reply(encode_detour_reply(reply)) == reply


@hypothesis.given(
    st.builds(ServerReply, OTHER_STATUS, HEADERS, st.booleans(), COUNT)
    | st.builds(RefusalReply, OTHER_STATUS, TEXT, st.none() | SECONDS, COUNT)
)
def test_a_reply_with_an_invalid_status_is_rejected(reply):
    with pytest.raises(ValueError, match="not a reply"):
        decode_detour_reply(encode_detour_reply(reply))


def test_a_large_body_is_carried_unchanged():
    body = bytes(range(256)) * 16_384
    request = CallerRequest("id", "POST", "h", "/", (), body)
    message = DetourRequest("h", 1, 1.0, 1, False, request)
    assert decode_detour_request(encode_detour_request(message)).request.body == body


@pytest.mark.parametrize("data", [b"", b"abc", b"\xff" * 40])
def test_other_bytes_are_no_message(data):
    with pytest.raises(ValueError, match="not a request"):
        decode_detour_request(data)
    with pytest.raises(ValueError, match="not a reply"):
        decode_detour_reply(data or b"!")
