import hypothesis
import hypothesis.strategies as st
import pytest

from sequoiapoint.protocol.gateway import StoreRecord
from sequoiapoint.protocol.positions import era_of, offset_of, position
from sequoiapoint.state.keyed_topic import MAX_TOMBSTONES, KeyedTopic


def records(*values):
    return [StoreRecord(offset, key, value) for offset, key, value in values]


def values(topic):
    return {key: record.value for key, record in topic.records.items()}


def test_the_newest_record_of_a_key_wins():
    topic = KeyedTopic()
    change = topic.apply(records((0, "a", b"1"), (1, "b", b"2"), (2, "a", b"3")))
    assert values(topic) == {"a": b"3", "b": b"2"}
    assert topic.end == 3
    assert [record.offset for record in change.updated] == [1, 2]


def test_a_record_without_a_value_deletes_its_key():
    topic = KeyedTopic()
    topic.apply(records((0, "a", b"1")))
    change = topic.apply(records((1, "a", None)))
    assert change.deleted == ("a",)
    assert not topic.records


def test_known_records_have_no_effect():
    topic = KeyedTopic()
    topic.apply(records((0, "a", b"1"), (1, "a", b"2")))
    change = topic.apply(records((0, "a", b"1")))
    assert (change.updated, change.deleted) == ((), ())
    assert values(topic) == {"a": b"2"}


@pytest.mark.parametrize(
    ("end", "state", "expected"),
    [
        (4, [(3, "a", b"new")], {"a": b"new"}),
        (1, [(0, "a", b"old")], {"a": b"1", "b": b"2"}),
    ],
)
def test_a_complete_state_replaces_the_known_one_unless_it_is_older(
    end, state, expected
):
    topic = KeyedTopic()
    topic.apply(records((0, "a", b"1"), (1, "b", b"2")))
    topic.replace(records(*state), end)
    assert values(topic) == expected


def test_replacing_the_state_returns_the_changes():
    topic = KeyedTopic()
    topic.apply(records((0, "a", b"1"), (1, "b", b"2"), (2, "c", b"3")))
    change = topic.replace(records((0, "a", b"1"), (3, "b", b"4")), 4)
    assert [record.key for record in change.updated] == ["b"]
    assert change.deleted == ("c",)


LOG = st.lists(
    st.tuples(st.sampled_from("abc"), st.one_of(st.none(), st.binary(min_size=1))),
    max_size=30,
)


@hypothesis.given(LOG, st.lists(st.tuples(st.integers(0, 30), st.integers(1, 30))))
def test_any_order_of_reads_ends_at_the_newest_records(log, reads):
    """Reads that repeat, overlap or come from a stale state have no effect."""
    log_records = [StoreRecord(o, key, value) for o, (key, value) in enumerate(log)]
    topic, position = KeyedTopic(), 0
    for start, length in reads:
        if start <= position:
            part = log_records[start : start + length]
            topic.apply(part)
            position = max(position, start + len(part))
    topic.apply(log_records[position:])
    newest = {record.key: record.value for record in log_records}
    assert values(topic) == {k: v for k, v in newest.items() if v is not None}


@hypothesis.given(LOG, st.integers(0, 30), st.integers(0, 30))
def test_a_host_that_replicates_from_another_reaches_the_same_state(
    log, joined_at, lag
):
    """The replica reads its changes from another host and lags behind it."""
    log_records = [StoreRecord(o, key, value) for o, (key, value) in enumerate(log)]
    source, replica = KeyedTopic(), KeyedTopic()
    source.apply(log_records[:joined_at])
    replica.replace(source.records.values(), max(0, source.end))
    for start in range(joined_at, len(log_records), lag + 1):
        source.apply(log_records[start : start + lag + 1])
        replica.apply(source.changes_since(replica.end))
        assert replica.end == source.end
    assert values(replica) == values(source)


def test_changes_are_unavailable_to_a_host_that_lags_too_far_behind():
    topic = KeyedTopic()
    topic.apply(records((0, "x", b"1")))
    for number in range(MAX_TOMBSTONES + 1):
        topic.apply(records((number + 1, f"k{number}", None)))
    assert topic.changes_since(1) is None
    assert len(topic.changes_since(2)) == MAX_TOMBSTONES


def test_changes_before_a_complete_state_are_unavailable():
    topic = KeyedTopic()
    topic.replace(records((3, "a", b"1")), 5)
    assert topic.changes_since(4) is None
    assert topic.changes_since(5) == ()


@pytest.mark.parametrize(("era", "offset"), [(0, 0), (0, 7), (3, 0), (4_000_000, 9)])
def test_a_position_has_an_era_and_an_offset(era, offset):
    at = position(era, offset)
    assert (era_of(at), offset_of(at)) == (era, offset)
    assert position(era + 1, 0) > at
    assert at < 2**63


def test_a_topic_of_a_later_era_replaces_a_longer_one_of_an_earlier():
    topic = KeyedTopic()
    topic.apply(records((0, "a", b"1"), (1, "b", b"2"), (2, "a", b"3")))
    change = topic.replace(records((position(1, 0), "a", b"1")), position(1, 1))
    assert values(topic) == {"a": b"1"}
    assert change.deleted == ("b",)
    assert topic.end == position(1, 1)
    assert topic.changes_since(3) is None
    late = topic.replace(records((2, "a", b"3")), 3)
    assert (values(topic), late.updated) == ({"a": b"1"}, ())


@pytest.mark.parametrize(
    ("restored", "kept"), [({"a": b"1"}, b"3"), ({}, b"3"), ({"a": b"4"}, b"4")]
)
def test_a_record_that_is_newer_than_the_old_copy_is_kept(restored, kept):
    """Guards against a configuration that goes back for hosts that start later."""
    topic = KeyedTopic()
    topic.apply(records((0, "a", b"1"), (1, "a", b"3")))
    topic.replace(
        records(*((position(1, 0), key, value) for key, value in restored.items())),
        position(1, 1),
        keeps=lambda known, old: old is None or old.value < known.value,
    )
    assert values(topic) == {"a": kept}
    topic.apply(records((position(1, 1), "a", b"2")))
    assert values(topic) == {"a": b"2"}
