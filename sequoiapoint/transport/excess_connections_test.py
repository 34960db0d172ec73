from dataclasses import dataclass

import pytest

from sequoiapoint.transport.excess_connections import connections_to_close

NOW = 100.0
CLOSING, SILENT, NEW, IDLE = "closing", "silent", "new", "idle"


@dataclass(frozen=True)
class Connection:
    kind: str
    finished_at: float

    @property
    def is_closing(self):
        return self.kind == CLOSING

    @property
    def has_finished(self):
        return self.kind == IDLE


@pytest.mark.parametrize(
    ("open_count", "idle", "closed"),
    [
        (10, [(SILENT, 5.0)], []),
        # Requests in progress stay, also if there is nothing else.
        (12, [], []),
        (11, [(IDLE, 5.0), (SILENT, 50.0), (CLOSING, 99.0)], [(CLOSING, 99.0)]),
        (11, [(IDLE, 5.0), (SILENT, 50.0), (NEW, 99.5)], [(SILENT, 50.0)]),
        (
            12,
            [(SILENT, 50.0), (SILENT, 40.0), (SILENT, 45.0)],
            [(SILENT, 40.0), (SILENT, 45.0)],
        ),
        # An idle connection precedes one that has just been opened.
        (11, [(IDLE, 5.0), (IDLE, 50.0), (NEW, 99.5)], [(IDLE, 5.0)]),
        (11, [(NEW, 99.5)], [(NEW, 99.5)]),
    ],
)
def test_connections_that_are_of_least_use_are_closed(open_count, idle, closed):
    chosen = connections_to_close(
        [Connection(*each) for each in idle], open_count, 10, NOW
    )
    assert [(each.kind, each.finished_at) for each in chosen] == closed


def test_more_than_the_excess_is_closed_at_once():
    idle = [Connection(SILENT, float(n)) for n in range(100)]
    assert len(connections_to_close(idle, 321, 320, NOW)) == 11
