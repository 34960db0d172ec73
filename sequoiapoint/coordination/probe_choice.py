"""Chooses the servers that a host probes while it seems to be cut off from all.

Answers a list in which most servers do not exist, as another writer has listed them: a
few probes drawn from all of them hit no healthy server for many rounds.  Servers that
have not failed come first, so each one is probed before any is probed again.
"""

from collections.abc import Callable, Collection, Sequence

from sequoiapoint.protocol.gateway import Incarnation, ServerEntry

PROBED_SERVERS = 3
"""Number of servers that are probed at the same time.  Some of them may have crashed,
which does not show that this host is cut off."""
SMALL_ROUNDS = 2
"""Number of failed rounds after which ``MAX_PROBED_SERVERS`` are probed at a time."""
MAX_PROBED_SERVERS = 12


def choose(
    entries: Sequence[ServerEntry],
    failed: Collection[Incarnation],
    failed_rounds: int,
    sample: Callable[[Sequence[ServerEntry], int], list[ServerEntry]],
) -> list[ServerEntry]:
    """Choose the servers of the next round.

    Servers that have failed are probed again if fewer than ``PROBED_SERVERS`` have not.

    :param failed: The server processes that have failed lately.
    :param failed_rounds: The number of rounds in a row in which none has responded.
    :param sample: Draws a number of different servers.
    """
    untried = [entry for entry in entries if entry.incarnation not in failed]
    if len(untried) >= PROBED_SERVERS:
        is_small = failed_rounds < SMALL_ROUNDS
        size = PROBED_SERVERS if is_small else MAX_PROBED_SERVERS
        return sample(untried, min(size, len(untried)))
    others = [entry for entry in entries if entry.incarnation in failed]
    missing = min(PROBED_SERVERS - len(untried), len(others))
    return untried + sample(others, missing)
