"""Plain workers fail part of their requests with 503, after they have run them.

These answers do not have ``Not-Run``.
"""

import time

from review.rig3.rig import Consumers, Record, Site, run_case

WORKERS = 4
SHARE = 0.45
"""The part of the requests that all workers fail for ``SECONDS``: ``x``, ``share`` and
``for_s`` of a ``srv_grey`` in the site file."""
SECONDS, INTERVAL_S = 6.0, 0.05
PROMISES = (408, 421, 429, 503)
"""The statuses that promise that a request has not run and never will."""


def case(record: Record, has_trouble: bool) -> bool:
    """Return whether no request that has run is answered with a promise."""
    workers = [
        {"name": f"web-{n}", "service": "web", "zone": f"z{n % 2}"}
        for n in range(WORKERS)
    ]
    for worker in workers if has_trouble else []:
        worker["failure_share"] = SHARE
    workers.append({"name": "lm-0", "service": "lm", "zone": "z0", "held": ["oak"]})
    consumers = Consumers(record)
    with Site(record, workers) as site:
        time.sleep(2.0)
        for number in range(int(SECONDS / INTERVAL_S)):
            port = site.gateways[number % 2].ports["front"]
            consumers.send(port, f"/write/{number}", f"w{number}", {})
            time.sleep(INTERVAL_S)
        consumers.wait()
    runs = {line["id"] for worker in site.workers for line in worker.events("run")}
    false = [
        answer
        for answer in consumers.answers
        if answer.status in PROMISES and answer.request_id in runs
    ]
    for answer in false:
        record.note(f"{answer.request_id} has run and is answered {answer.status}")
    record.note(f"{len(false)} of {len(consumers.answers)} requests")
    return not false


if __name__ == "__main__":
    run_case(__file__, case)
