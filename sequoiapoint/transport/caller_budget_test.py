from dataclasses import dataclass, field

import pytest

from sequoiapoint.transport.caller_budget import (
    LARGE_REQUESTS_SHARE,
    SMALL_REQUEST_BYTES,
    CallerBudget,
)

MAX_BYTES = 1_000_000
LARGE = 100_000


@dataclass(eq=False)
class Connection:
    pending_since: float = 0.0
    pending_bytes: int = 0
    released: list[int] = field(default_factory=list)

    def release_pending(self):
        self.released.append(1)


def released_after(active, pending, now):
    """Return the numbers of the connections that lose their requests.

    :param pending: The bytes and the start of each connection's requests.
    """
    budget = CallerBudget(MAX_BYTES)
    budget.add_active(active)
    connections = [Connection(since) for _, since in pending]
    for connection, (size, _) in zip(connections, pending, strict=True):
        budget.set_pending(connection, size)
    budget.enforce(now)
    budget.enforce(now)
    assert all(len(connection.released) <= 1 for connection in connections)
    return [n for n, connection in enumerate(connections) if connection.released]


@pytest.mark.parametrize(
    ("active", "pending", "released"),
    [
        # Within the budget.
        (0, [(500_000, 0.0), (500_000, 0.0)], []),
        # The larger one, as both have begun at the same time.
        (0, [(500_000, 0.0), (600_000, 0.0)], [1]),
        # The one that has sent less for longer.
        (0, [(400_000, 0.0), (700_000, 9.9)], [0]),
        # Not a small request that has just begun.
        (900_000, [(200_000, 0.0), (1_000, 9.9)], [0]),
        # Until a tenth of what they held is free.
        (0, [(LARGE, float(n)) for n in range(11)], [0, 1, 2]),
        # All of them, if whole requests need the memory.
        (1_000_000, [(LARGE, 0.0), (1_000, 9.9)], [0, 1]),
        # A single request that is larger than the budget is let in.
        (0, [(2_000_000, 0.0)], []),
    ],
)
def test_connections_that_hold_much_for_long_lose_their_requests(
    active, pending, released
):
    assert released_after(active, pending, now=10.0) == released


@pytest.mark.parametrize(
    ("active", "size", "has_room"),
    [
        (0, 5 * MAX_BYTES, True),
        (LARGE, int(LARGE_REQUESTS_SHARE * MAX_BYTES) - LARGE, True),
        (LARGE, int(LARGE_REQUESTS_SHARE * MAX_BYTES) - LARGE + 1, False),
        (MAX_BYTES - SMALL_REQUEST_BYTES, SMALL_REQUEST_BYTES, True),
        (MAX_BYTES - SMALL_REQUEST_BYTES + 1, SMALL_REQUEST_BYTES, False),
    ],
)
def test_a_part_of_the_budget_is_kept_for_small_requests(active, size, has_room):
    budget = CallerBudget(MAX_BYTES)
    budget.add_active(active)
    assert budget.has_room(size) is has_room


def test_memory_that_is_no_longer_held_does_not_count():
    budget = CallerBudget(MAX_BYTES)
    connection = Connection()
    budget.set_pending(connection, 700)
    budget.add_active(300)
    budget.set_pending(connection, 200)
    assert budget.held_bytes == 500
    budget.set_pending(connection, 0)
    budget.remove_active(300)
    assert budget.held_bytes == 0
