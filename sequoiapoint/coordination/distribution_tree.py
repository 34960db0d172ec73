"""Decides from which host of its zone a host fetches a change of a topic.

A new configuration with hundreds of routes is tens of kilobytes long.  If the zone's
aggregator sent it to each of 20 to 200 hosts, the last one would have it only after
that many transfers on one slow link.  In a tree the time grows with the logarithm of
the hosts.  All hosts sort the list of members that the aggregator sends in the same
way; hosts with lists of different age only fetch from a less suitable host for a while.

A host whose source is slow tries any other host of the zone next, of which more have
the change by then, rather than the aggregator: an overloaded aggregator would be asked
by the whole zone.
"""

from collections.abc import Callable, Sequence

FAN_OUT = 4
"""Number of hosts that fetch a change from the same host."""


def source(own: str, aggregator: str, sorted_members: Sequence[str]) -> str:
    """Return the host to fetch from.

    :param sorted_members: The hosts of the zone in the order on which all agree.
    :return: The aggregator for the first hosts, and for one that is not listed.
    """
    receivers = [host for host in sorted_members if host != aggregator]
    if own not in receivers:
        return aggregator
    position = receivers.index(own)
    if position < FAN_OUT:
        return aggregator
    return receivers[position // FAN_OUT - 1]


def alternative(
    own: str, tried: str, members: Sequence[str], random: Callable[[], float]
) -> str | None:
    """Return a random host to fetch from after a source that did not deliver.

    :param random: Returns random numbers from 0 to 1.
    :return: None if there is no other host.
    """
    others = [host for host in members if host not in (own, tried)]
    return others[int(random() * len(others))] if others else None
