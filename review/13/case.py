"""Streams while two of four engines are restarted at a newer version, one by one.

Each engine comes back under its id and at its address, and registers with its first
heartbeat, as PROTOCOL.md says of all entries.  A stream may go on only at the version
that began it.
"""

import time

from review.rig3.rig import Consumers, Record, Site, run_case
from standins.site.deployment import configuration

EVENTS = 60
STREAMS = 12
HELD = {
    "lm-0": ["oak", "elm"],
    "lm-1": ["oak", "elm"],
    "lm-2": ["ash", "fir"],
    "lm-3": ["fir", "yew"],
}
RESTARTED = 2
"""Half of the engines: the ``share`` of the day ``rejoined`` in DEMANDS.md."""
GAP_S = 0.1
"""Pause after an engine listens again until the next one is restarted; from one kill to
the next it takes about 0.4 s, ``gap_s`` of that day."""
HEARTBEAT_S = 1.2
"""``heartbeat-ms``: the time after which a restarted engine registers."""
SLOTS = 64
MAX_JOINED = 2
"""ORDER is broken by more than two streams."""


def case(record: Record, has_trouble: bool) -> bool:
    """Return whether no more than ``MAX_JOINED`` streams hold two versions."""
    common = {"service": "lm", "event_interval_s": 0.1, "slots": SLOTS}
    workers = [
        common | {"name": name, "zone": f"z{number % 2}", "held": held}
        for number, (name, held) in enumerate(HELD.items())
    ]
    workers.append({"name": "web-0", "service": "web", "zone": "z0"})
    manifest = configuration()
    manifest["services"][0]["engine"]["slots"] = SLOTS
    consumers = Consumers(record)
    with Site(record, workers, first_configuration=manifest) as site:
        time.sleep(2.0)
        for number in range(STREAMS):
            port = site.gateways[number % 2].ports["front"]
            consumers.stream(port, "/talk/page", f"s{number}", EVENTS)
        time.sleep(1.0)
        for engine in site.workers[:RESTARTED] if has_trouble else []:
            record.note(f"platform restarts {engine.name} at version v2")
            engine.kill()
            engine.start(version="v2", registers_after_s=HEARTBEAT_S)
            site.wait(lambda e=engine: len(e.events("start")) > 1, 10.0)
            time.sleep(GAP_S)
        consumers.wait()
    joined = 0
    for answer in consumers.answers:
        versions = {event.split(b" ")[-1] for event in answer.events}
        if len(versions) > 1:
            joined += 1
            record.note(f"{answer.request_id} holds events of {sorted(versions)}")
    record.note(f"streams of two versions: {joined} of {len(consumers.answers)}")
    return joined <= MAX_JOINED


if __name__ == "__main__":
    run_case(__file__, case)
