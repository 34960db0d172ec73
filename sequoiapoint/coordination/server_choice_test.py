import random
from collections import Counter

import pytest

from sequoiapoint.coordination.server_choice import Candidate, choose
from sequoiapoint.protocol.gateway import ServerEntry, ServerState


def candidate(server, load=0.0, zone="north", failures=0.0, avoided=False, slots=64):
    entry = ServerEntry(server, "lm", "10.0.0.1:80", zone, ServerState.READY, 1, slots)
    return Candidate(entry, load, failures, avoided)


def pick(*candidates, seed=1):
    chosen = choose(candidates, "north", random.Random(seed).random)
    return chosen.entry.server if chosen else None


@pytest.mark.parametrize(
    ("candidates", "expected"),
    [
        ((), None),
        ((candidate("a", 9), candidate("b", 3)), "b"),
        ((candidate("a", 3, zone="south"), candidate("b", 4)), "b"),
        ((candidate("a", 3, zone="south"), candidate("b", 30)), "a"),
        ((candidate("a", 0, avoided=True), candidate("b", 60)), "b"),
        ((candidate("a", 0, avoided=True),), "a"),
        (
            (candidate("a", 0, failures=0.6), candidate("b", 20), candidate("c", 30)),
            "b",
        ),
        ((candidate("a", 1, failures=0.5), candidate("b", 2, failures=0.5)), "a"),
    ],
)
def test_the_lightest_server_that_works_is_chosen(candidates, expected):
    assert pick(*candidates) == expected


def test_servers_of_equal_load_share_the_requests():
    """Replays many hosts that decide alone on the same counts."""
    counts = Counter(
        pick(*(candidate(f"s{n}") for n in range(5)), seed=seed) for seed in range(500)
    )
    assert max(counts.values()) < 2 * min(counts.values())


def test_the_least_loaded_of_many_does_not_draw_all_hosts_at_once():
    """Replays sixty servers of which one has just become free."""
    servers = [candidate("free", 0)] + [candidate(f"s{n}", 20) for n in range(59)]
    counts = Counter(pick(*servers, seed=seed) for seed in range(600))
    assert 0 < counts["free"] < 60
