import pytest

from sequoiapoint.coordination import sole_versions
from sequoiapoint.coordination.sole_versions import MAX_ENTRIES
from sequoiapoint.protocol.gateway import ServerEntry, ServerState, Unreadable
from sequoiapoint.protocol.origins import VersionHistory
from sequoiapoint.protocol.positions import position
from sequoiapoint.state.fleet import Fleet

HISTORY = VersionHistory(7, {"lm": "v1", "web": "v5"})


def entry(server, version, service="lm", started_ms=1):
    return ServerEntry(
        *(server, service, "10.0.1.1:1", "z", ServerState.READY, started_ms, 8),
        version=version,
    )


@pytest.mark.parametrize(
    ("known_since", "other_left_at", "expected"),
    [
        (10.0, None, {"lm": "v1", "web": "v5"}),
        (71.0, None, None),
        (10.0, 60.0, {"lm": "v1", "web": "v5"}),
        (10.0, 90.0, {"web": "v5"}),
        (10.0, 101.0, {"web": "v5"}),
    ],
)
def test_a_version_is_recorded_if_it_served_alone(known_since, other_left_at, expected):
    fleet = Fleet()
    fleet.put(entry("s-1", "v1"))
    fleet.put(entry("w-1", "v5", "web"))
    fleet.confirm(known_since)
    if other_left_at is not None:
        fleet.put(entry("s-2", "v2"))
        fleet.confirm(other_left_at - 0.1)
        if other_left_at < 100.0:
            fleet.remove("s-2")
            fleet.confirm(other_left_at)
    fleet.confirm(100.0)
    history = sole_versions.current(fleet, 7)
    assert history == (None if expected is None else VersionHistory(7, expected))


@pytest.mark.parametrize(
    ("entries", "expected"),
    [
        ([], {"lm": "v1", "web": "v5"}),
        ([entry("s-1", "v1"), entry("w-1", "v5", "web")], {"lm": "v1", "web": "v5"}),
        # A server that came and left again since the record.
        ([entry("s-1", "v1"), entry("s-2", "v2")], {"web": "v5"}),
        # A server that restarted twice.
        (
            [entry("s-1", "v2", started_ms=2), entry("s-1", "v1", started_ms=3)],
            {"web": "v5"},
        ),
        ([entry("n-1", "v9", "new")], {"lm": "v1", "web": "v5"}),
        ([Unreadable("s-1", "service: missing")], {"lm": "v1", "web": "v5"}),
    ],
)
def test_entries_since_the_record_may_disprove_it(entries, expected):
    assert sole_versions.proved(HISTORY, entries) == expected


@pytest.mark.parametrize(
    ("at", "end", "is_in_reach"),
    [
        (7, 7, True),
        (7, 7 + MAX_ENTRIES, True),
        (7, 8 + MAX_ENTRIES, False),
        # The store came back older: its offsets were given out again.
        (position(1, 7), position(2, 7), False),
        (7, -1, False),
    ],
)
def test_only_a_recent_record_of_this_era_is_used(at, end, is_in_reach):
    assert sole_versions.is_in_reach(VersionHistory(at, {}), end) == is_in_reach


@pytest.mark.parametrize(
    ("zone", "is_aggregator", "live", "expected"),
    [
        ("a", True, ["a", "b"], True),
        ("b", True, ["a", "b"], False),
        ("a", False, ["a", "b"], False),
        ("b", True, ["b"], True),
        ("b", True, [], True),
    ],
)
def test_one_aggregator_writes_the_record(zone, is_aggregator, live, expected):
    assert sole_versions.is_writer(zone, is_aggregator, live) == expected
