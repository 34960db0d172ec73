import time

import pytest

from sequoiapoint.protocol.gateway import (
    CallerLimits,
    GatewayConfiguration,
    Repeatability,
    Route,
)
from sequoiapoint.state.route_table import RouteTable


def route(name, host, prefix):
    return Route(
        name,
        host,
        prefix,
        (("s", 1.0),),
        Repeatability.IDEMPOTENT,
        False,
        False,
        1.0,
        0.1,
        0.0,
        1,
        0,
    )


def table(*routes):
    return RouteTable(GatewayConfiguration(1, routes, {}, CallerLimits()))


TABLE = table(
    route("root", "a", "/"),
    route("short", "a", "/x/"),
    route("long", "a", "/x/y/"),
    route("other", "b", "/x/"),
)


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("a", "/x/y/z", "long"),
        ("a", "/x/y/", "long"),
        ("a", "/x/y", "short"),
        ("a", "/x/yy/z", "short"),
        ("a", "/x", "root"),
        ("a", "/", "root"),
        ("b", "/x/y/z", "other"),
        ("b", "/x", None),
        ("c", "/x/", None),
        ("a", "", None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(host, path, expected):
    found = TABLE.find(host, path)
    assert (found.name if found else None) == expected


def test_the_lookup_time_does_not_grow_with_the_number_of_routes():
    """Simulates a configuration that grows by 350 routes."""

    def lookup_time_s(routes):
        index = table(*routes)
        started_at = time.perf_counter()
        for _ in range(20_000):
            index.find("a", "/x/y/z")
        return time.perf_counter() - started_at

    few = [route("long", "a", "/x/y/")]
    many = few + [route(f"r{n}", "a", f"/p{n}/q/") for n in range(350)]
    assert lookup_time_s(many) < 3 * lookup_time_s(few)
