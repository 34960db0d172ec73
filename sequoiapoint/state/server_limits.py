"""The request limits that servers name in their responses.

A server in need names the number of requests a second that it takes from all hosts
together.  The limit holds until a response of the same process names another one, or
none, so only the newest response counts, whichever host received it.
"""

from dataclasses import dataclass

from sequoiapoint.protocol.gateway import Incarnation

ENDED_RETENTION_S = 30.0
"""Time for which the end of a limit is remembered: longer than an older notice of the
same limit can be on its way between hosts."""
MAX_NOTICES = 256
"""Number of processes whose limits are remembered, those heard of last."""


@dataclass(frozen=True)
class LimitNotice:
    """What the newest known response of a server process says of its limit.

    :param per_s: Requests a second from all hosts together; None if it names none.
    :param heard_at: When the response arrived at a host, in seconds.
    """

    incarnation: Incarnation
    per_s: float | None
    heard_at: float


class ServerLimits:
    """The limits of all servers, by process."""

    def __init__(self) -> None:
        self._notices: dict[Incarnation, LimitNotice] = {}

    def per_s(self, incarnation: Incarnation) -> float | None:
        """Return a process's limit in requests a second, None without one."""
        notice = self._notices.get(incarnation)
        return None if notice is None else notice.per_s

    def limited(self) -> set[Incarnation]:
        """Return the processes with a limit."""
        return {i for i, notice in self._notices.items() if notice.per_s is not None}

    def age_s(self, incarnation: Incarnation, now: float) -> float:
        """Return the time since the limit of a process was last heard, in seconds."""
        notice = self._notices.get(incarnation)
        return 0.0 if notice is None else now - notice.heard_at

    def note(self, notice: LimitNotice) -> bool:
        """Record what a response says, unless a newer one is known.

        :return: Whether the limit has changed.
        """
        known = self._notices.get(notice.incarnation)
        if known is None and notice.per_s is None:
            return False
        if known is not None and known.heard_at > notice.heard_at:
            return False
        self._notices.pop(notice.incarnation, None)
        self._notices[notice.incarnation] = notice
        while len(self._notices) > MAX_NOTICES:
            del self._notices[next(iter(self._notices))]
        return known is None or known.per_s != notice.per_s

    def newest(self, now: float, limit: int) -> tuple[LimitNotice, ...]:
        """Return the notices to send to other hosts, those heard last first.

        :param limit: Maximum number of notices.
        """
        self._notices = {
            incarnation: notice
            for incarnation, notice in self._notices.items()
            if notice.per_s is not None or now - notice.heard_at < ENDED_RETENTION_S
        }
        notices = sorted(self._notices.values(), key=lambda n: -n.heard_at)
        return tuple(notices[:limit])
