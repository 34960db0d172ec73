"""Plain servers with few slots before more hosts than know their load by themselves.

The hosts are processes; callers send to all of them at a steady rate, less than the
servers can run.
"""

import time

from standins.site.callers import Callers
from standins.site.deployment import SiteDeployment

HOSTS = 18
SLOTS, ROOM = 2, 1
WORK_S = (0.1, 0.16, 0.27)
LOAD = 0.6
WARM_UP_S, OBSERVED_S = 4.0, 8.0


def test_plain_servers_turn_nothing_away_that_hosts_can_hold():
    """Hosts that choose by counts of half a second ago overfill one server after
    another, although all of them together could run every request.
    """
    with SiteDeployment(HOSTS, engines=0, plain=len(WORK_S)) as site:
        for backend, work_s in zip(site.plain, WORK_S, strict=True):
            backend.slots, backend.room, backend.work_s = SLOTS, ROOM, work_s
            backend.slowness_percent = round(100 * work_s / WORK_S[0])
            site.call(backend.register)
        rate = LOAD * sum(SLOTS / work_s for work_s in WORK_S)
        with Callers(site, "/read/x", budget_s=1.5, rate=rate) as callers:
            time.sleep(WARM_UP_S)
            observed_from = time.monotonic()
            turned_away_before = sum(len(b.turned_away) for b in site.plain)
            time.sleep(OBSERVED_S)
        assert site.failures() == []
        turned_away = sum(len(b.turned_away) for b in site.plain)
        finished = [b.finished for b in site.plain]
    assert turned_away - turned_away_before == 0
    assert min(finished) > 0
    statuses = callers.statuses(observed_from)
    assert set(statuses) == {200}
