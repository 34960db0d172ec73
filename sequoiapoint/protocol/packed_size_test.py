"""The size of packed messages against a plain reading of the format."""

import hypothesis
import hypothesis.strategies as st
import pytest

from sequoiapoint.protocol import packed

BYTES = st.lists(
    st.sampled_from([0x00, 0xFF, 0x01, 0x10, 0x30, 0x50, 0xF0]) | st.integers(0, 255),
    max_size=60,
).map(bytes)


def unpacked(data):
    """Unpack all words one bit of a tag at a time, None if the data is cut off."""
    rest, words = list(data), []
    try:
        while rest:
            tag = rest.pop(0)
            words += [rest.pop(0) if tag >> bit & 1 else 0 for bit in range(8)]
            run = 8 * rest.pop(0) if tag in (0x00, 0xFF) else 0
            words += [rest.pop(0) if tag else 0 for _ in range(run)]
    except IndexError:
        return None
    return bytes(words)


@hypothesis.given(BYTES, st.integers(0, 2))
def test_only_data_of_the_stated_size_is_accepted(data, zero_words):
    """Guards against data past whose end the library reads, which ends the process."""
    data += bytes([0x00, zero_words]) * zero_words
    message = unpacked(data)
    segments = int.from_bytes(message[:4], "little") + 1 if message else 0
    if 0 < segments <= packed.MAX_SEGMENTS:
        header = [message[i : i + 4] for i in range(4, 4 + 4 * segments, 4)]
        stated = sum(int.from_bytes(size, "little") for size in header)
        if stated + segments // 2 + 1 == len(message) // 8:
            packed._check(data, packed.MAX_WORDS)
            return
    with pytest.raises(ValueError, match="not a message"):
        packed._check(data, packed.MAX_WORDS)
