import pytest

from sequoiapoint.protocol.origins import OriginBatch, OriginGroup
from sequoiapoint.state.stored_origins import (
    MAX_RECORD_AGE_MS,
    MAX_STORED,
    RETENTION_S,
    StoredOrigin,
    StoredOrigins,
)

KEY = b"k" * 12
NOW_MS = 1_700_000_000_000
CERTAIN = OriginGroup("v1", (KEY,))
PROCESS = OriginGroup("v1", (KEY,), ("s-1", 1), 4.0)
OTHER_CERTAIN = OriginGroup("v2", (KEY,))
OTHER_PROCESS = OriginGroup("v2", (KEY,), ("s-2", 1), 4.0)


def read(*groups, now=100.0, written_ms=NOW_MS):
    origins = StoredOrigins()
    for group in groups:
        origins.put(OriginBatch((group,), written_ms), now, NOW_MS)
    return origins


@pytest.mark.parametrize(
    ("groups", "expected"),
    [
        ([], None),
        ([CERTAIN], StoredOrigin("v1", None, 100.0)),
        ([PROCESS], StoredOrigin("v1", ("s-1", 1), 96.0)),
        ([PROCESS, CERTAIN], StoredOrigin("v1", None, 100.0)),
        ([CERTAIN, PROCESS], StoredOrigin("v1", None, 100.0)),
        ([CERTAIN, OTHER_CERTAIN], None),
        ([CERTAIN, OTHER_PROCESS], None),
        ([OTHER_PROCESS, CERTAIN], None),
        ([CERTAIN, OTHER_CERTAIN, CERTAIN], None),
    ],
)
def test_records_of_a_stream_are_joined(groups, expected):
    """A caller may have given two streams the same id, at two versions."""
    assert read(*groups).get(KEY, 100.0) == expected


@pytest.mark.parametrize(
    ("age_ms", "is_read"),
    [
        (0, True),
        (MAX_RECORD_AGE_MS, True),
        (MAX_RECORD_AGE_MS + 1, False),
        (-4000, True),
        (NOW_MS, False),
    ],
)
def test_an_old_record_is_not_read(age_ms, is_read):
    """It would answer for a new stream whose caller uses an earlier id again."""
    origins = read(CERTAIN, written_ms=NOW_MS - age_ms)
    assert (origins.get(KEY, 100.0) is not None) == is_read


def test_origins_are_forgotten_after_their_time():
    origins = read(CERTAIN)
    assert origins.get(KEY, 100.0 + RETENTION_S) is not None
    assert origins.get(KEY, 100.1 + RETENTION_S) is None
    origins.put(OriginBatch((OTHER_CERTAIN,), NOW_MS), 101.0 + RETENTION_S, NOW_MS)
    assert origins.get(KEY, 101.0 + RETENTION_S).version == "v2"


def test_the_number_of_origins_is_bounded():
    keys = tuple(number.to_bytes(12, "big") for number in range(MAX_STORED + 5))
    origins = read(OriginGroup("v1", keys))
    assert len(origins) == MAX_STORED
    assert origins.get(keys[4], 100.0) is None
    assert origins.get(keys[5], 100.0) is not None
