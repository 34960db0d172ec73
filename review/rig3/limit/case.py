"""A manifest that no longer names a model, while requests ask for another one.

Both engines are full: each holds two models of 90 MB in 200 MB.
"""

import time

from review.rig3.rig import Consumers, Record, Site, run_case
from standins.site.deployment import configuration

RETIRED, WANTED = "elm", "ash"
SIZE_MB = 90.0
HELD = {"lm-0": ["oak", RETIRED], "lm-1": ["fir", RETIRED]}
APPLY_S = 2.0
"""``apply-ms``, after which the manifest is in force everywhere."""
REQUESTS = 16


def case(record: Record, has_trouble: bool) -> bool:
    """Return whether no engine is ordered to load more than it holds."""
    engine = {"service": "lm", "memory_mb": 200.0, "size_mb": SIZE_MB}
    workers = [
        engine | {"name": name, "zone": f"z{number}", "held": held}
        for number, (name, held) in enumerate(HELD.items())
    ]
    workers.append({"name": "web-0", "service": "web", "zone": "z0"})
    consumers = Consumers(record)
    with Site(record, workers, restart_after_s=2.0) as site:
        time.sleep(3.0)
        manifest = configuration(2)
        engine = manifest["services"][0]["engine"]
        if has_trouble:
            engine["models"] = [m for m in engine["models"] if m["name"] != RETIRED]
        record.note(
            f"operator sends version 2 with {[m['name'] for m in engine['models']]}"
        )
        site.call(site.store.write, "keyed.op", "config", manifest)
        time.sleep(APPLY_S + 1.0)
        for number in range(REQUESTS):
            port = site.gateways[number % 2].ports["front"]
            model = WANTED if number % 2 else "oak"
            consumers.stream(port, "/talk/page", f"r{number}", 5, Model=model)
            time.sleep(0.5)
        consumers.wait()
    crashes = [
        f"{line['worker']}: {line['reason']}"
        for worker in site.workers
        for line in worker.events("crash")
    ]
    for crash in crashes:
        record.note(f"ordered to load more than it holds: {crash}")
    return not crashes


if __name__ == "__main__":
    run_case(__file__, case)
