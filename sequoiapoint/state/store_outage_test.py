import math

import pytest

from sequoiapoint.state.store_outage import StoreOutage


@pytest.mark.parametrize(
    ("served", "ended_at"),
    [
        ([0.0, 0.7, 1.4], -math.inf),
        ([0.0, 2.0], 2.0),
        ([0.0, 2.0, 2.7], 2.0),
        ([0.0, 2.0, 2.7, 5.0], 5.0),
        ([0.0, 2.0, 1.0, 2.5], 2.0),
        ([9.0], -math.inf),
    ],
)
def test_an_outage_is_a_time_in_which_the_store_has_served_no_host(served, ended_at):
    outage = StoreOutage(1.5)
    for at in served:
        outage.note_served(at)
    assert outage.ended_at == ended_at
