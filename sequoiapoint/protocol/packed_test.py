"""Packed messages that are cut off or say a wrong size."""

import pytest

from sequoiapoint.protocol import origins, packed, slots

ABORTING = bytes.fromhex(
    "fd010c5002020001110512510402060173370101c811051aa3057103763107732d31"
)
UNKNOWN_KIND = bytes.fromhex(
    "ff1009500302010130d00712d70111052211050e076f646411012207739031"
)
VALID = slots.encode_slot_message(slots.SlotRelease("host-with-a-long-name", 9))[1:]


def test_a_message_that_is_cut_off_does_not_end_the_process():
    """The library raised an error while it freed the message: the process aborted."""
    with pytest.raises(ValueError, match="not a message"):
        origins.decode_origin_message(ABORTING)


def test_a_message_of_an_unknown_kind_is_a_value_error():
    """The library raises a ``RuntimeError``, which nobody handled."""
    with pytest.raises(ValueError, match="not a slot message"):
        slots.decode_slot_message(UNKNOWN_KIND)


@pytest.mark.parametrize("length", range(len(VALID)))
def test_no_beginning_of_a_message_is_one(length):
    with pytest.raises(ValueError, match="not a message"):
        packed.read_packed(slots._SCHEMA.SlotMessage, VALID[:length])


@pytest.mark.parametrize(
    "data", [VALID + b"\x00\x00", VALID * 2, b"\x00\xff" * 4_000, b"\xff" * 99]
)
def test_a_message_that_states_another_size_is_rejected(data):
    with pytest.raises(ValueError, match="not a message"):
        packed.read_packed(slots._SCHEMA.SlotMessage, data)


def test_a_complete_message_is_decoded():
    message = packed.read_packed(slots._SCHEMA.SlotMessage, VALID)
    assert (message.host, message.number) == ("host-with-a-long-name", 9)
