"""The urgency of requests whose organisation and route both have a priority.

The priority of the organisation decides, and where it is equal, that of the route.
Queues, allocators and messages take one number, so pairs of both are ranked.
"""

from collections.abc import Collection

MAX_SENT_PRIORITY = 9
"""The least urgent priority that servers accept; the most urgent is 0."""

_Pair = tuple[int, int]


class PriorityRanks:
    """Ranks of the priorities that the requests of one configuration can have.

    The ranks are dense, so that they fit into the few values that messages carry.  If
    no organisation has a priority, they are the priorities of the routes.

    :param organisations: The priority of each organisation, None for one without.
    :param routes: The priorities of all routes.
    """

    def __init__(
        self, organisations: Collection[int | None], routes: Collection[int]
    ) -> None:
        self._ranks: dict[_Pair, int] | None = None
        stated = {priority for priority in organisations if priority is not None}
        if stated:
            pairs = {(first, second) for first in stated for second in routes}
            pairs |= {(priority, priority) for priority in routes}
            self._ranks = {pair: rank for rank, pair in enumerate(sorted(pairs))}

    def rank(self, organisation: int | None, route: int) -> int:
        """Return the rank of a request; 0 is the most urgent.

        :param organisation: The priority of its organisation.  None without one: the
            priority of the route then stands for both.
        :param route: The priority of its route.
        """
        if self._ranks is None:
            return route
        first = route if organisation is None else organisation
        return self._ranks.get((first, route), len(self._ranks))

    def sent(self, rank: int) -> int:
        """Return the priority that servers are told, at most ``MAX_SENT_PRIORITY``.

        More ranks than that are reduced in proportion, so that the organisations with
        the least urgent requests do not all share the last value.
        """
        least_urgent = 0 if self._ranks is None else len(self._ranks) - 1
        if least_urgent <= MAX_SENT_PRIORITY:
            return min(rank, MAX_SENT_PRIORITY)
        return min(MAX_SENT_PRIORITY, rank * MAX_SENT_PRIORITY // least_urgent)
