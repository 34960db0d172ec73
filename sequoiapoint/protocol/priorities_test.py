"""The order of requests by the priorities of their organisations and routes."""

import itertools
from dataclasses import replace

import hypothesis
import hypothesis.strategies as st

from sequoiapoint.node.request_forwarder_test import ROUTE
from sequoiapoint.protocol.gateway import (
    CallerLimits,
    GatewayConfiguration,
    Organisation,
)
from sequoiapoint.protocol.priorities import MAX_SENT_PRIORITY, PriorityRanks

PRIORITIES = st.integers(0, 12)
LEVELS = st.lists(st.none() | PRIORITIES, min_size=1, max_size=6)
ROUTES = st.lists(PRIORITIES, min_size=1, max_size=6)


@hypothesis.given(LEVELS, ROUTES)
def test_the_organisation_decides_and_then_the_route(organisations, routes):
    ranks = PriorityRanks(organisations, routes)
    has_levels = any(level is not None for level in organisations)

    def order(level, route):
        return (route if level is None or not has_levels else level, route)

    pairs = list(itertools.product(organisations, routes))
    for first, second in itertools.product(pairs, pairs):
        expected = order(*first) < order(*second)
        assert (ranks.rank(*first) < ranks.rank(*second)) == expected


@hypothesis.given(LEVELS, ROUTES)
def test_servers_are_told_a_valid_priority_in_the_same_order(organisations, routes):
    ranks = PriorityRanks(organisations, routes)
    used = sorted(ranks.rank(*p) for p in itertools.product(organisations, routes))
    sent = [ranks.sent(rank) for rank in used]
    assert sent == sorted(sent)
    assert all(0 <= priority <= MAX_SENT_PRIORITY for priority in sent)


@hypothesis.given(ROUTES)
def test_without_priorities_of_organisations_the_routes_hold(routes):
    ranks = PriorityRanks([None], routes)
    assert [ranks.rank(None, route) for route in routes] == routes


def test_the_least_urgent_priority_is_that_of_a_possible_request():
    """A model that only the least urgent requests ask for is not preferred."""
    holders = {b"a": Organisation("a", 0), b"b": Organisation("b", 2)}
    batch = replace(ROUTE, prefix="/b/", priority=5, targets=(("lm", 1.0),))
    open_route = replace(
        ROUTE, prefix="/o/", is_public=True, priority=1, targets=(("web", 1.0),)
    )
    routes = (batch, open_route)
    known = GatewayConfiguration(1, routes, {}, CallerLimits(), holders)
    assert known.least_urgent_priority("lm") == known.priority(batch, "b")
    assert known.least_urgent_priority("web") == known.priority(open_route, "")
    assert known.priority(batch, "a") < known.priority(open_route, "")
    without = replace(known, organisations=None)
    assert without.least_urgent_priority("lm") == 5
