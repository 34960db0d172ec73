"""Decides which services had one software version alone before this host started.

Answers callers that come back after all hosts were killed while one version served: a
host that has just started does not know which versions served before.  One host of all
records it from time to time, with the position in the topic of servers up to which it
holds; the entries since that position tell the rest.  No clocks are compared: what was
recorded holds for the time before the record, and each stream began later than that.
"""

from collections.abc import Iterable, Mapping

from sequoiapoint.protocol.gateway import ServerEntry, Unreadable
from sequoiapoint.protocol.origins import VersionHistory
from sequoiapoint.protocol.positions import era_of
from sequoiapoint.state.fleet import Fleet
from sequoiapoint.state.stream_origins import VERSION_HISTORY_S

WRITE_INTERVAL_S = 10.0
"""Time between two records.  Each has a price; the entries since the last one, about
one a second of each server, must be read."""
MAX_ENTRIES = 4096
"""Number of entries up to which they are read; 1 MB."""


def current(fleet: Fleet, position: int) -> VersionHistory | None:
    """Return which services have had one version alone until now.

    :param position: The position in the topic of servers up to which the list of
        servers contains every change.
    :return: None if the list has not been known for long enough.
    """
    since = fleet.complete_until - VERSION_HISTORY_S
    if fleet.known_since > since:
        return None
    found = {}
    for service in {entry.service for entry in fleet.entries.values()}:
        versions = fleet.versions(service, since)
        if len(versions) == 1:
            found[service] = next(iter(versions))
    return VersionHistory(position, found)


def is_in_reach(history: VersionHistory, end: int) -> bool:
    """Tell whether the entries since a record can be read.

    :param end: The position up to which this host knows the topic of servers.
    """
    same_era = era_of(history.position) == era_of(end)
    return same_era and end - history.position <= MAX_ENTRIES


def proved(
    history: VersionHistory, entries: Iterable[ServerEntry | Unreadable]
) -> Mapping[str, str]:
    """Return the services that had one version up to the last of the entries.

    An entry that cannot be read names no server, as in the list of servers.

    :param entries: All entries since the record, in any order.
    """
    others = {
        entry.service
        for entry in entries
        if isinstance(entry, ServerEntry)
        and entry.version != history.versions.get(entry.service)
    }
    return {
        service: version
        for service, version in history.versions.items()
        if service not in others
    }


def is_writer(own_zone: str, is_aggregator: bool, live_zones: Iterable[str]) -> bool:
    """Tell whether this host writes the record: one aggregator of all.

    While zones are cut off from each other, each part has one; all of their records
    are true.
    """
    return is_aggregator and own_zone == min(live_zones, default=own_zone)
