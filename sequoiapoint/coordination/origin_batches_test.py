import pytest

from sequoiapoint.coordination import origin_batches
from sequoiapoint.coordination.origin_batches import (
    MAX_BATCH,
    MAX_MESSAGE,
    MAX_STREAMS,
    SLOTS,
    UNFINISHED_S,
    WRITE_INTERVAL_S,
    PendingOrigins,
    SlotSequence,
    UnfinishedStreams,
    split,
    write_interval_s,
)
from sequoiapoint.protocol.origins import (
    OriginBatch,
    OriginGroup,
    encode_origin_message,
    encode_origin_record,
)
from sequoiapoint.state.stream_origins import StreamOrigin

ORIGIN = StreamOrigin("v1", ("s-1", 1), 8.0)
MAX_DATAGRAM_BYTES = 1400
MAX_RECORD_BYTES = 262_144
MAX_STORE_WRITES_PER_S = 400.0


def key(number):
    return number.to_bytes(12, "big")


class Host:
    """The streams of one host, of which two versions serve and are certain."""

    def __init__(self, streams=1):
        self.streams = UnfinishedStreams()
        self.mixed, self.is_certain = {"lm"}, True
        for number in range(streams):
            self.streams.add(key(number), "lm", ORIGIN, 10.0)

    def take(self, writer="w", now=10.1):
        groups = self.streams.take(
            writer, self.mixed.__contains__, lambda origin: self.is_certain, now
        )
        return [(g.version, len(g.streams), g.server) for g in groups]


def test_an_origin_is_handed_over_once():
    host = Host(3)
    assert host.take() == [("v1", 3, None)]
    assert host.take() == []


def test_nothing_is_handed_over_while_one_version_serves():
    """Streams in flight as the second one appears would be lost without this."""
    host = Host(2)
    host.mixed = set()
    assert host.take() == []
    host.mixed = {"lm"}
    assert host.take() == [("v1", 2, None)]


def test_an_uncertain_origin_is_handed_over_again_when_it_is_certain():
    """The process may be gone when the record is read, and cannot be confirmed."""
    host = Host()
    host.is_certain = False
    assert host.take() == [("v1", 1, ("s-1", 1))]
    assert host.take() == []
    host.is_certain = True
    assert host.take() == [("v1", 1, None)]
    assert host.take() == []


def test_a_new_writer_gets_all_origins():
    """Those that the former one had not written are lost."""
    host = Host(2)
    assert host.take("first") == [("v1", 2, None)]
    assert host.take("second") == [("v1", 2, None)]


def test_a_completed_or_abandoned_stream_is_not_handed_over():
    host = Host(2)
    host.streams.complete(key(0))
    host.streams.complete(key(9))
    assert host.take(now=10.0 + UNFINISHED_S) == [("v1", 1, None)]
    assert Host().take(now=10.1 + UNFINISHED_S) == []


def test_the_streams_of_a_host_are_bounded():
    host = Host(MAX_STREAMS + 3)
    assert len(host.streams) == MAX_STREAMS
    host.streams.add(key(0), "lm", ORIGIN, 20.0 + UNFINISHED_S)
    assert len(host.streams) == 1


@pytest.mark.parametrize(
    ("is_aggregator", "unreached", "expected"),
    [
        (True, [], "own"),
        (False, [], "r-1"),
        (False, ["r-1"], "r-2"),
        (True, ["own"], "r-1"),
        (False, ["r-1", "r-2"], ""),
    ],
)
def test_the_first_relay_that_reaches_the_store_writes(
    is_aggregator, unreached, expected
):
    chosen = origin_batches.writer(
        "own", is_aggregator, ["r-1", "r-2"], lambda host: host not in unreached
    )
    assert chosen == expected


def test_origins_of_a_batch_keep_the_age_of_the_newest_connection():
    """An earlier time would make a process certain by a list that is too old."""
    pending = PendingOrigins()
    pending.add(key(1), "v1", ORIGIN)
    pending.add_batch(
        OriginBatch((OriginGroup("v1", (key(2),), ("s-1", 1), 0.5),)), 10.0
    )
    pending.add(key(3), "v1", None)
    batch = pending.take(11.0, 7)
    assert batch.written_ms == 7
    assert batch.groups == (
        OriginGroup("v1", (key(1), key(2)), ("s-1", 1), 1.5),
        OriginGroup("v1", (key(3),), None, 0.0),
    )
    assert len(pending) == 0


def test_a_later_origin_of_a_stream_replaces_one_that_waits():
    pending = PendingOrigins()
    pending.add(key(1), "v1", ORIGIN)
    pending.add(key(1), "v1", None)
    assert pending.take(11.0, 0).groups == (OriginGroup("v1", (key(1),), None, 0.0),)


def test_messages_and_records_are_bounded():
    groups = [
        OriginGroup("v1", tuple(key(n) for n in range(150))),
        OriginGroup("v1.1", (key(200),), ("server-1", 1), 0.1),
    ]
    batches = split(groups)
    assert sum(len(g.streams) for b in batches for g in b.groups) == 151
    assert all(sum(len(g.streams) for g in b.groups) <= MAX_MESSAGE for b in batches)
    sizes = [len(encode_origin_message(batch)) for batch in batches]
    assert max(sizes) <= MAX_DATAGRAM_BYTES
    pending = PendingOrigins()
    for number in range(2 * MAX_BATCH):
        server = (f"server-with-a-long-name-{number % 100}", 1)
        pending.add(key(number), "v1.2.3", StreamOrigin("v1.2.3", server, 0.0))
    assert len(encode_origin_record(pending.take(1.0, 1))) <= MAX_RECORD_BYTES


@pytest.mark.parametrize("zones", [1, 4, 24, 100])
def test_the_writes_of_all_zones_stay_below_the_limit_of_the_store(zones):
    assert zones / write_interval_s(zones) <= MAX_STORE_WRITES_PER_S / 4 + 1e-9


def test_each_record_replaces_the_oldest_one():
    slots, now, used = SlotSequence(), 50.0, []
    for _ in range(SLOTS):
        used.append(slots.next(now, int(1000 * now)))
        now += WRITE_INTERVAL_S
    assert sorted(used) == list(range(SLOTS))
    assert slots.next(now, int(1000 * now)) == used[0]


def test_a_clock_that_is_set_back_does_not_replace_new_records():
    slots = SlotSequence()
    first = slots.next(50.0, 1_000_000)
    assert slots.next(50.2, 996_200) == (first + 1) % SLOTS


def test_a_new_writer_goes_on_where_the_records_end():
    """From a start of its own it would replace what was written before the kill."""
    former, successor = SlotSequence(), SlotSequence()
    last = former.next(50.0, 1_000_000)
    assert successor.next(7.0, 1_003_000) == (last + 15) % SLOTS
