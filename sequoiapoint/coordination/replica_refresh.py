"""Decides when a host refreshes its replica of the servers' topic out of turn.

Answers a reader that has lost its path to the store, or falls silent, while servers
leave: the waits for its report, for another reader, for an announcement and for a fetch
each stay below the time within which a leaving server must get no requests, but not
their sum.  The age of the replica covers all of them.  A host whose replica is too old
asks other hosts, and then the store, whatever it knows of the cause.

The relays of a zone turn to the store first.  The other hosts ask the relays before,
and follow, at different times, only if no relay answers: while the store is down, the
relays that answer have no newer state, and a whole zone must not call the store.
"""

from dataclasses import dataclass

STALE_SHARE = 0.5
"""Age from which on a replica is refreshed, as a share of the time within which a
leaving server must get no requests.  The reads of the zone's reader are 0.35 apart."""
OWN_READ_SHARE = 0.6
"""The same for the first host that is no relay to turn to the store."""
OWN_READ_SPREAD_SHARE = 0.1
"""Part of that time over which the hosts of a zone turn to the store."""
MAX_PAUSE_S = 0.8
"""Maximum pause between two attempts; it doubles with each one that brings nothing."""
TIMEOUT_SHARE = 0.2
"""Timeout of each call to refresh a replica, as a share of that time: after one that
fails there is time for another."""


@dataclass(frozen=True)
class Refresh:
    """What a host does about its replica now."""

    asks_peers: bool
    reads_store: bool


def decide(
    age_s: float,
    drain_s: float,
    is_relay: bool,
    position: int,
    hosts: int,
    has_answer: bool = False,
) -> Refresh:
    """Return what to do about a replica of the given age.

    :param age_s: Time for which the replica may have missed changes, in seconds.
    :param drain_s: Time within which a leaving server must get no requests.
    :param position: The host's position in the order of its zone.
    :param hosts: The number of hosts of the zone.
    :param has_answer: Whether a host that was asked last has answered.
    """
    own_read_share = STALE_SHARE
    if not is_relay:
        own_read_share = OWN_READ_SHARE + OWN_READ_SPREAD_SHARE * position / hosts
    reads_store = age_s > own_read_share * drain_s and (is_relay or not has_answer)
    return Refresh(age_s > STALE_SHARE * drain_s, reads_store)


def fresh_for_s(age_s: float, drain_s: float) -> float:
    """Return for how long a replica need not be refreshed; less than 0 if it must be.

    :param age_s: Its age in seconds, which grows no faster than time passes.
    """
    return STALE_SHARE * drain_s - age_s


def next_pause_s(pause_s: float) -> float:
    """Return the pause after an attempt that has brought nothing.

    :param pause_s: The pause before it.
    """
    return min(MAX_PAUSE_S, 2.0 * pause_s)
