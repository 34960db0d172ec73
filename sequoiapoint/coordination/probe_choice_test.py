import random

import pytest

from sequoiapoint.coordination import probe_choice
from sequoiapoint.protocol.gateway import ServerEntry, ServerState

ROUND_S = 0.5
"""Interval of the rounds."""
MAX_S = 3.0
"""Time within which a host in contact must serve its callers again."""


def entries_of(count):
    return [
        ServerEntry(f"s-{n}", "lm", "10.0.0.1:1", "z", ServerState.READY, 1, 8)
        for n in range(count)
    ]


def rounds_until_found(listed, healthy, seed):
    """Return the number of rounds until a healthy server is probed."""
    entries, rng = entries_of(listed), random.Random(seed)
    found = {entry.incarnation for entry in rng.sample(entries, healthy)}
    failed, rounds = set(), 0
    while True:
        chosen = probe_choice.choose(entries, failed, rounds, rng.sample)
        probed = {entry.incarnation for entry in chosen}
        if probed & found:
            return rounds
        failed |= probed
        rounds += 1


@pytest.mark.parametrize("healthy", [1, 2, 5])
@pytest.mark.parametrize("listed", [8, 47])
def test_a_healthy_server_among_many_that_do_not_exist_is_found_in_time(
    listed, healthy
):
    rounds = [rounds_until_found(listed, healthy, seed) for seed in range(200)]
    assert max(rounds) * ROUND_S <= MAX_S


@pytest.mark.parametrize(("listed", "expected"), [(1, 1), (2, 2), (5, 3), (63, 3)])
@pytest.mark.parametrize("failed_rounds", [0, 9])
def test_a_host_that_is_cut_off_probes_few_servers_at_a_time(
    listed, expected, failed_rounds
):
    """Once all have failed, the number of probes does not grow with the servers."""
    entries = entries_of(listed)
    failed = {entry.incarnation for entry in entries}
    chosen = probe_choice.choose(
        entries, failed, failed_rounds, random.Random(1).sample
    )
    assert len(chosen) == expected
