from dataclasses import replace

import hypothesis
import hypothesis.strategies as st
import pytest

from sequoiapoint.protocol.allowances import (
    AllowanceOutcome,
    AllowanceReply,
    AllowanceRequest,
    Charge,
    decode_allowance_message,
    encode_allowance_message,
)

TEXT = st.text(max_size=12)
NUMBER = st.integers(0, 2**63)
UNITS = st.floats(0, 1e9)
SECONDS = st.integers(0, 90_000).map(lambda ms: ms / 1000)
MESSAGES = st.one_of(
    st.builds(
        AllowanceRequest,
        TEXT,
        NUMBER,
        TEXT,
        NUMBER,
        UNITS,
        UNITS,
        st.lists(st.builds(Charge, UNITS, NUMBER, SECONDS), max_size=5).map(tuple),
        UNITS,
        UNITS,
        UNITS,
    ),
    st.builds(
        AllowanceReply,
        TEXT,
        NUMBER,
        st.sampled_from(AllowanceOutcome),
        st.lists(SECONDS, max_size=5).map(tuple),
        UNITS,
        SECONDS,
        SECONDS,
        st.lists(st.integers(0, 2**32 - 1), max_size=5).map(tuple),
    ),
)


@hypothesis.given(MESSAGES)
def test_message_round_trip(message):
    assert decode_allowance_message(encode_allowance_message(message)) == message


def test_a_short_wait_does_not_become_a_grant():
    reply = AllowanceReply("h", 1, waits_s=(0.0001, 0.0))
    assert decode_allowance_message(encode_allowance_message(reply)).waits_s == (
        0.001,
        0.0,
    )


@pytest.mark.parametrize("data", [b"\xfb", b"\xfbabc", b"\xfb" + b"\xff" * 40])
def test_other_bytes_are_not_a_message(data):
    with pytest.raises(ValueError, match="not an allowance message"):
        decode_allowance_message(data)


@pytest.mark.parametrize("units", [-1.0, float("inf"), float("nan")])
@pytest.mark.parametrize("field", ["returned", "rate_per_s", "charges", "credit"])
def test_units_that_no_request_costs_are_not_accepted(field, units):
    """A negative or infinite number would remain in the allocator's count for good."""
    if field == "credit":
        message = AllowanceReply("h", 1, credit=units)
    else:
        value = (Charge(units),) if field == "charges" else units
        message = replace(AllowanceRequest("h", 1, "o", 1, 1.0, 1.0), **{field: value})
    with pytest.raises(ValueError, match="units out of range"):
        decode_allowance_message(encode_allowance_message(message))
