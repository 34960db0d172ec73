import resource

import pytest

from sequoiapoint.node.host_capacity import (
    ConnectionLimits,
    caller_memory_bytes,
    connection_limits,
)


@pytest.mark.parametrize(
    ("descriptors", "expected"),
    [
        (4_200, ConnectionLimits(2_000, 1_000, 32)),
        (600, ConnectionLimits(200, 100, 8)),
        (100, ConnectionLimits(1, 1, 1)),
    ],
)
def test_connections_from_outside_leave_descriptors_for_others(descriptors, expected):
    assert connection_limits(descriptors) == expected


def test_limits_that_are_not_set_are_those_of_the_process_and_the_machine(monkeypatch):
    monkeypatch.setattr(resource, "getrlimit", lambda _: (1_200, 1_200))
    assert connection_limits(None).callers == 500
    monkeypatch.setattr(resource, "getrlimit", lambda _: (resource.RLIM_INFINITY,) * 2)
    assert connection_limits(None).callers > 1_000_000
    assert caller_memory_bytes(300) == 60_000_000
    assert caller_memory_bytes(None) > 0
