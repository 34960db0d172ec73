import re

import hypothesis
import hypothesis.strategies as st
import pytest

from sequoiapoint.protocol.event_stream import (
    MAX_EVENT_BYTES,
    MAX_MEAN_EVENT_BYTES,
    EventSplitter,
)


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n"])
def test_only_complete_events_are_returned(end):
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a" + end + b"id: 2\nda") == (
        b"id: 1\ndata: a" + end
    )
    assert (splitter.last_id, splitter.has_partial) == ("1", True)
    assert splitter.feed(b"ta: b" + end) == b"id: 2\ndata: b" + end
    assert (splitter.last_id, splitter.has_partial) == ("2", False)


def test_a_stream_resumes_after_the_last_complete_event():
    splitter = EventSplitter("7")
    splitter.feed(b"id: 8\ndata: a\n\nid: 9\nda")
    splitter.drop_partial()
    assert splitter.last_id == "8"
    assert splitter.feed(b"id: 9\ndata: b\n\n") == b"id: 9\ndata: b\n\n"


def test_an_id_inside_data_does_not_hide_an_earlier_id():
    splitter = EventSplitter("7")
    splitter.feed(b"id: 8\ndata: a\n\n")
    splitter.feed(b"data: see id:5\n\n")
    assert splitter.last_id == "8"


@pytest.mark.parametrize(
    ("data", "count"),
    [
        (b"data: a\r\n\r\ndata: b\r\n\r\n", 2),
        (b"data: a\r\rdata: b\r\r", 2),
        (b"data: a\n\ndata: b\r\n\r\n", 2),
        (b"data: a\r\n\r\ndata: b\n\n", 2),
        (b"data: a\r\n\ndata: b\n\r\n", 2),
        (b"data: \r inside\n\n", 1),
    ],
)
def test_events_with_any_line_ends_are_returned_at_once_and_counted(data, count):
    splitter = EventSplitter()
    assert splitter.feed(data) == data
    assert (splitter.count, splitter.has_partial) == (count, False)


@hypothesis.given(st.lists(st.integers(1, 40), max_size=60))
def test_chunks_of_any_size_yield_the_same_bytes_in_order(sizes):
    stream = b"".join(b"id: %d\ndata: %s\n\n" % (n, b"x" * n) for n in range(1, 20))
    splitter, received, position = EventSplitter(), b"", 0
    for size in [*sizes, len(stream)]:
        received += splitter.feed(stream[position : position + size])
        position += size
    assert received == stream
    assert (splitter.count, splitter.last_id) == (19, "19")


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"id: 3\ndata: id: 9\n\n", "3"),
        (b"data: x\nid:4\n\n", "4"),
        (b"data: id:5\n\n", "0"),
        (b"id: 6\ndata: a\n\ndata: without\n\n", "6"),
        (b"id: 6\ndata: a\n\nid: 7\ndata: cut", "6"),
    ],
)
def test_the_last_id_comes_from_a_complete_event(data, expected):
    splitter = EventSplitter("0")
    splitter.feed(data)
    assert splitter.last_id == expected


EVENTS = (
    b"id: 5\ndata: a\n\n",
    b"data: a\nid:6\n\n",
    b"data: id: 8\n\n",
    b": \n\n",
)


@hypothesis.given(
    st.lists(st.sampled_from(EVENTS), max_size=9),
    st.lists(st.integers(0, 25), max_size=40),
)
def test_events_of_any_chunks_are_those_of_a_plain_model(events, sizes):
    """Guards against an id that is missed or taken from data, and wrong counts.

    The model examines all data received so far.
    """
    data, splitter, position, known = b"".join(events), EventSplitter(), 0, 0
    for size in [*sizes, len(data)]:
        returned = splitter.feed(data[position : position + size])
        position += size
        end = data.rfind(b"\n\n", 0, position) + 2 if b"\n\n" in data[:position] else 0
        assert returned == data[known:end]
        known = max(known, end)
        ids = re.findall(rb"^id: ?(.*)$", data[:known], re.MULTILINE)
        last_id = ids[-1].decode() if ids else ""
        count = data.count(b"\n\n", 0, known)
        has_partial = known < min(position, len(data))
        assert (splitter.count, splitter.last_id) == (count, last_id)
        assert splitter.has_partial == has_partial


@pytest.mark.parametrize(
    ("last_id", "data", "follows"),
    [
        ("7", b"id: 8\ndata: a\n\n", True),
        ("7", b"id:10\n\n", True),
        ("7", b"versions: 2\r\nid: 8\r\n\r\n", True),
        ("7", b"id: 07\n\n", False),
        ("7", b"id: 6\n\nid: 8\n\n", False),
        ("7", b"data: a\n\nid: 8\n\n", False),
        ("7", b"HTTP/1.1 200 OK\r\n\r\nid: 8\r\n\r\n", False),
        ("7", b"id: b\n\n", False),
        ("7", b"id: \xb2\n\n", False),
        ("a", b"id: b\n\n", True),
        ("a", b"id: a\n\n", False),
        ("9" * 5000, b"id: 1" + b"0" * 5000 + b"\n\n", True),
    ],
)
@pytest.mark.parametrize("size", [1, 5, 10_000])
def test_only_events_that_follow_the_last_one_are_returned(
    last_id, data, follows, size
):
    splitter = EventSplitter(last_id)
    parts = [data[i : i + size] for i in range(0, len(data), size)]
    assert b"".join(map(splitter.feed, parts)) == (data if follows else b"")
    assert splitter.is_out_of_order is not follows
    assert splitter.is_resuming is False


def test_comments_before_the_first_event_are_returned():
    splitter = EventSplitter("7")
    assert splitter.feed(b": ping\n\n") == b": ping\n\n"
    assert splitter.is_resuming
    assert splitter.feed(b"id: 7\n\n") == b""
    assert splitter.is_out_of_order


FLOODS = [
    b"oak\n\n",
    b"\n\n",
    b"\r\n",
    b"data: x\n\n",
    b": comment\n\n",
    b"id: 13\ndata: x\n\n",
    b"data: " + b"x" * 100_000 + b"\n\n",
]


def token_events(count):
    return b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, count + 1))


@pytest.mark.parametrize(
    ("flood", "max_tokens"),
    [*((flood, 12) for flood in FLOODS), *((flood, None) for flood in FLOODS[:-1])],
)
def test_a_stream_ends_when_it_holds_more_than_its_tokens(flood, max_tokens):
    """Guards against a host that answers nobody beside streams without end."""
    splitter = EventSplitter("", max_tokens)
    returned = len(splitter.feed(token_events(12)))
    block = flood * (65_536 // len(flood) + 1)
    for _ in range(200):
        returned += len(splitter.feed(block))
        if splitter.must_end:
            break
    assert splitter.is_too_long
    assert splitter.feed(b"id: 99\ndata: x\n\n") == b""
    assert splitter.last_id in ("12", "13")
    if max_tokens:
        assert returned <= MAX_EVENT_BYTES + 300 * MAX_MEAN_EVENT_BYTES


@pytest.mark.parametrize(
    "extra", [b"", b": still here\n\n" * 200, b"data: [DONE]\n\n", b"\n" * 200]
)
def test_a_stream_of_as_many_events_as_tokens_is_sound(extra):
    splitter = EventSplitter("", 500)
    data = extra + token_events(500)
    assert b"".join(splitter.feed(data[n : n + 9]) for n in range(0, len(data), 9))
    assert not splitter.must_end
    assert splitter.last_id == "500"


def test_the_next_server_of_a_stream_may_send_what_its_tokens_allow():
    splitter = EventSplitter("", 12)
    splitter.feed(token_events(6))
    splitter.feed(b"oak\n\n" * 20_000)
    assert splitter.is_too_long
    splitter.drop_partial()
    rest = token_events(12).removeprefix(token_events(6))
    assert splitter.feed(rest) == rest
    assert not splitter.must_end
