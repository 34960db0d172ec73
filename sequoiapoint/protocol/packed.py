"""Checks packed messages of other hosts before the library decodes them.

The library reads a packed message as a stream.  If the stream ends before the message,
it raises an error while it frees the message, which ends the process.
"""

from typing import Any

import capnp

DECODE_ERRORS = (capnp.KjException, RuntimeError)
"""What the library raises for messages with invalid pointers, kinds or values."""
WORD_BYTES = 8
MAX_WORDS = 131_072
"""Maximum size of a message, 1 MB; a datagram of zeros can stand for 64 MB."""
MAX_SEGMENTS = 512
"""Maximum number of segments, as in the library."""
_READS_PER_WORD = 8
"""How often a word may be read; the library limits reads against loops of pointers."""
_ALL_ZERO, _ALL_SET = 0x00, 0xFF
_SET_WORD_BYTES = 1 + WORD_BYTES + 1
"""The size of a packed word without zero bytes, up to the length of the run."""
_PLAIN_WORD_BYTES = bytes(
    0 if tag in (_ALL_ZERO, _ALL_SET) else 1 + tag.bit_count() for tag in range(256)
)
"""The size of a packed word by its tag; 0 for the tags that a run follows."""
_SIZE_BYTES = {0x10: 1, 0x30: 2, 0x70: 3, 0xF0: 4}
"""The bytes that state the size of a message of one segment, by the tag of its first
word.  The number of further segments is 0 there, and takes no bytes."""


def read_packed(schema: Any, data: bytes, max_words: int = MAX_WORDS) -> Any:
    """Decode a packed message.

    :param schema: The type of the message.
    :param max_words: The maximum size of the message, in words.
    :raises ValueError: The data is not exactly one message.
    """
    _check(data, max_words)
    return schema.from_bytes_packed(
        data, traversal_limit_in_words=_READS_PER_WORD * max_words
    )


def _check(data: bytes, max_words: int) -> None:
    """Check that the data has as many words as its header says.

    :raises ValueError: It has more or fewer words.
    """
    try:
        header_words, body_words = _stated_words(data)
        words = _count_words(data)
    except IndexError as error:
        raise ValueError("not a message: cut off") from error
    if words > max_words or words != header_words + body_words:
        raise ValueError(f"not a message: {words} words")


def _count_words(data: bytes) -> int:
    """Return the number of words that the data stands for."""
    sizes = data.translate(_PLAIN_WORD_BYTES) + bytes(_SET_WORD_BYTES)
    end = len(data)
    position = words = 0
    while True:
        while size := sizes[position]:
            position += size
            words += 1
        if position >= end:
            break
        words += 1
        if data[position] == _ALL_ZERO:
            words += data[position + 1]
            position += 2
        else:
            position += _SET_WORD_BYTES
            if run := data[position - 1]:
                # The next words follow as they are.
                words += run
                position += WORD_BYTES * run
    if position > end:
        raise ValueError("not a message: cut off")
    return words


def _stated_words(data: bytes) -> tuple[int, int]:
    """Return the sizes of header and segments in words, as the header states them."""
    if size_bytes := _SIZE_BYTES.get(data[0]):
        return 1, int.from_bytes(data[1 : 1 + size_bytes], "little")
    segments = int.from_bytes(_unpack(data, 1)[:4], "little") + 1
    if segments > MAX_SEGMENTS:
        raise ValueError(f"not a message: {segments} segments")
    header_words = segments // 2 + 1
    header = _unpack(data, header_words)
    sizes = [
        int.from_bytes(header[4 * n : 4 * n + 4], "little")
        for n in range(1, segments + 1)
    ]
    return header_words, sum(sizes)


def _unpack(data: bytes, words: int) -> bytes:
    """Return the first words of the data."""
    unpacked = bytearray()
    position = 0
    while len(unpacked) < words * WORD_BYTES:
        tag = data[position]
        position += 1
        for bit in range(WORD_BYTES):
            if tag >> bit & 1:
                unpacked.append(data[position])
                position += 1
            else:
                unpacked.append(0)
        if tag == _ALL_ZERO:
            unpacked += bytes(WORD_BYTES * data[position])
            position += 1
        elif tag == _ALL_SET:
            size = WORD_BYTES * data[position]
            unpacked += data[position + 1 : position + 1 + size]
            position += 1 + size
    return bytes(unpacked[: words * WORD_BYTES])
