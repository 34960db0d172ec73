"""The servers that say that they are brittle, and those that fell for want of room.

A brittle server falls over if it has to turn more than a few requests of all hosts away
in a second.  It says so in all its responses, until the first one that does not; only
the newest response of a process counts, whichever host received it.

A new process of such a service is taken to be brittle until it has responded: the one
before it may have fallen a moment ago.
"""

import math
from typing import Any

from sequoiapoint.protocol.gateway import Incarnation, ServerEntry
from sequoiapoint.state.server_limits import ENDED_RETENTION_S, MAX_NOTICES, LimitNotice

SERVICE_TTL_S = 10.0
"""Time for which new processes of a service are taken to be brittle after one of its
servers has said that it is: longer than servers are down after a fall."""
FALL_WINDOW_S = 2.0
"""Time after a brittle server has turned a request away in which its end counts as a
fall for want of room."""
TURNED_AWAY_INTERVAL_S = 0.5
"""Shortest time between two urgent notices that a server turns requests away."""
OVERFULL_SHARE = 1.5
"""Requests at a brittle server, relative to its slots, from which its end counts as a
fall too.  Estimates of a full server exceed its slots by less."""
FALL_RETENTION_S = 130.0
"""Time for which falls are remembered: longer than what ran in one is a suspect."""


ServerAge = tuple[Incarnation, float]
"""A server process and the time since something was seen there, in seconds."""


def _drop_oldest(by_server: dict[Incarnation, Any]) -> None:
    while len(by_server) > MAX_NOTICES:
        del by_server[next(iter(by_server))]


class BrittleServers:
    """What the servers have said of their brittleness, by process."""

    def __init__(self) -> None:
        self._notices: dict[Incarnation, LimitNotice] = {}
        self._services: dict[str, float] = {}
        self._turned_away: dict[Incarnation, float] = {}
        self._crashes: dict[Incarnation, float] = {}
        self._falls: dict[Incarnation, float] = {}

    def note(self, notice: LimitNotice, service: str) -> bool:
        """Record what a response says, unless a newer one is known.

        :param notice: ``per_s`` is the number of requests a second that the server can
            turn away.
        :param service: The service of the server.
        :return: Whether this has changed.
        """
        known = self._notices.get(notice.incarnation)
        heard_at = notice.heard_at
        if known is not None and known.heard_at > heard_at:
            return False
        is_brittle = notice.per_s is not None
        if known is None and not is_brittle and not self._is_recent(service, heard_at):
            return False
        self._notices.pop(notice.incarnation, None)
        self._notices[notice.incarnation] = notice
        _drop_oldest(self._notices)
        if is_brittle:
            self._services[service] = max(heard_at, self._services.get(service, 0.0))
        return notice.per_s != (None if known is None else known.per_s)

    def has_any(self, now: float) -> bool:
        """Tell whether a server has lately said that it is brittle."""
        return any(self._is_recent(service, now) for service in self._services)

    def is_brittle(self, entry: ServerEntry, now: float) -> bool:
        """Tell whether a server process is brittle, or may be."""
        if not self._services:
            return False
        notice = self._notices.get(entry.incarnation)
        if notice is not None:
            return notice.per_s is not None
        return self._is_recent(entry.service, now)

    def _is_recent(self, service: str, now: float) -> bool:
        return now - self._services.get(service, -math.inf) < SERVICE_TTL_S

    def newest(self, now: float, limit: int) -> tuple[LimitNotice, ...]:
        """Return the notices to send to other hosts, those heard last first.

        :param limit: Maximum number of notices.
        """
        recent = [
            notice
            for notice in self._notices.values()
            if now - notice.heard_at < ENDED_RETENTION_S
        ]
        recent.sort(key=lambda notice: -notice.heard_at)
        return tuple(recent[:limit])

    # Falls

    def note_turned_away(self, incarnation: Incarnation, at: float) -> bool:
        """Record that a server had no room for a request.

        :param at: The time at which it has turned the request away, in seconds.
        :return: Whether the other hosts should be told at once.
        """
        known = self._turned_away.pop(incarnation, -math.inf)
        if not self._services:
            return False
        self._turned_away[incarnation] = max(known, at)
        _drop_oldest(self._turned_away)
        return at - known >= TURNED_AWAY_INTERVAL_S

    def recently_turned_away(self, now: float, limit: int) -> list[ServerAge]:
        """Return the servers that have lately turned requests away, the last first.

        :param limit: Maximum number of servers.
        """
        recent = [
            (incarnation, now - at)
            for incarnation, at in self._turned_away.items()
            if now - at < FALL_WINDOW_S
        ]
        return recent[::-1][:limit]

    def has_fallen(self, entry: ServerEntry, running: float, now: float) -> bool:
        """Tell whether a server that has crashed fell over for want of room.

        :param running: The number of all hosts' requests there, as far as known.
        """
        if not self.is_brittle(entry, now):
            return False
        self._crashes.setdefault(entry.incarnation, now)
        _drop_oldest(self._crashes)
        is_overfull = running >= OVERFULL_SHARE * entry.slots
        return is_overfull or self.has_crashed_full(entry.incarnation)

    def has_crashed_full(self, incarnation: Incarnation) -> bool:
        """Tell whether a brittle server has crashed after it turned requests away.

        A host may learn of what the server turned away after it has seen the crash.
        """
        if incarnation in self._falls:
            return True
        crashed_at = self._crashes.get(incarnation)
        turned_away_at = self._turned_away.get(incarnation, -math.inf)
        return crashed_at is not None and crashed_at - turned_away_at < FALL_WINDOW_S

    def note_fall(self, incarnation: Incarnation, now: float) -> bool:
        """Record that a server fell over for want of room.

        :return: Whether this was not known.
        """
        is_new = incarnation not in self._falls
        self._falls.setdefault(incarnation, now)
        _drop_oldest(self._falls)
        return is_new

    def recent_falls(self, now: float, age_s: float, limit: int) -> list[Incarnation]:
        """Return the processes whose falls have become known lately, the last first.

        :param age_s: Maximum time since then, in seconds.
        :param limit: Maximum number of processes.
        """
        self._falls = {
            i: at for i, at in self._falls.items() if now - at < FALL_RETENTION_S
        }
        recent = [i for i, at in self._falls.items() if now - at < age_s]
        return recent[::-1][:limit]
