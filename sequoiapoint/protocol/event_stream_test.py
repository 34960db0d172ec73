import hypothesis
import hypothesis.strategies as st
import pytest

from sequoiapoint.protocol.event_stream import EventSplitter


def event_id(line):
    return line[3:].strip().decode() if line.startswith(b"id:") else None


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n"])
def test_only_whole_events_pass(end):
    splitter = EventSplitter(event_id)
    assert splitter.feed(b"id: 1\ndata: a" + end + b"id: 2\nda") == (
        b"id: 1\ndata: a" + end
    )
    assert (splitter.last_id, splitter.has_partial) == ("1", True)
    assert splitter.feed(b"ta: b" + end) == b"id: 2\ndata: b" + end
    assert (splitter.last_id, splitter.has_partial) == ("2", False)


def test_a_stream_goes_on_after_the_last_whole_event():
    splitter = EventSplitter(event_id, "7")
    splitter.feed(b"id: 8\ndata: a\n\nid: 9\nda")
    splitter.drop_partial()
    assert splitter.last_id == "8"
    assert splitter.feed(b"id: 9\ndata: b\n\n") == b"id: 9\ndata: b\n\n"


@hypothesis.given(st.lists(st.integers(1, 40), max_size=60))
def test_any_pieces_pass_the_same_bytes_in_order(cuts):
    whole = b"".join(b"id: %d\ndata: %s\n\n" % (n, b"x" * n) for n in range(1, 20))
    splitter, passed, position = EventSplitter(event_id), b"", 0
    for cut in [*cuts, len(whole)]:
        passed += splitter.feed(whole[position : position + cut])
        position += cut
    assert passed == whole
    assert (splitter.events, splitter.last_id) == (19, "19")
