import pytest

from sequoiapoint.protocol.configuration_age import (
    MAX_VERSION,
    AgeNotice,
    AgeQuestion,
    AgeReply,
    decode_age_message,
    encode_age_message,
)


@pytest.mark.parametrize(
    "message",
    [
        AgeQuestion(2**64 - 1, "h-1"),
        AgeReply(7, MAX_VERSION, 1.25),
        AgeReply(0, -1, 0.0),
        AgeNotice("h-1", 0.5),
    ],
)
def test_a_message_is_decoded_as_it_was_encoded(message):
    assert decode_age_message(encode_age_message(message)) == message


def test_an_age_is_never_rounded_down():
    """A younger age would let a withdrawn key be used for longer."""
    reply = decode_age_message(encode_age_message(AgeReply(1, 1, 1.0001)))
    assert reply.age_s == 1.001


@pytest.mark.parametrize("data", [b"\xfb", b"\xfbabc", b"\xfb" + b"\xff" * 40])
def test_unreadable_data_is_rejected(data):
    with pytest.raises(ValueError, match="not a message about ages"):
        decode_age_message(data)
