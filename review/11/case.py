"""Consumers take their streams up again after two engines were lost.

The second engine is killed while the store still lists the first one.  The two that are
left hold the model too.
"""

import random
import threading
import time

from review.rig3.rig import Consumers, Record, Site, run_case
from standins.site.deployment import configuration

ENGINES, SLOTS = 4, 64
PER_S, SECONDS = 24.0, 12.0
"""Streams begun a second, about a fifth more than ``street-brief`` as played."""
EVENTS, INTERVAL_S = 47, 0.1
PROMPT_TOKENS, TOKENS_PER_MS = 715, 38.4
"""The prompts of ``street-brief``, and how fast an engine reads them."""
FIRST_KILL_S, SECOND_KILL_S = 5.0, 6.5
RETRY_S = 0.05
TIMEOUT_MS = 12_000
MIN_TAKEN_UP = 12
MIN_SHARE = 0.5


def case(record: Record, has_trouble: bool) -> bool:
    """Return whether enough of the streams that were taken up went on."""
    engine = {"service": "lm", "held": ["oak"], "slots": SLOTS}
    engine |= {"event_interval_s": INTERVAL_S, "tokens_per_ms": TOKENS_PER_MS}
    workers = [
        engine | {"name": f"lm-{n}", "zone": f"z{n % 2}"} for n in range(ENGINES)
    ]
    workers.append({"name": "web-0", "service": "web", "zone": "z0"})
    manifest = configuration()
    manifest["services"][0]["engine"]["slots"] = SLOTS
    for route in manifest["routes"]:
        route["timeout-ms"] = TIMEOUT_MS
    consumers = Consumers(record)
    begun: list[bool] = []
    gone_on: list[bool] = []

    def consume(ports: list[int], name: str) -> None:
        fields = {"Model": "oak", "Token-Count": f"{PROMPT_TOKENS},{EVENTS}"}
        first = consumers.request(ports[0], f"/talk/{name}", name, fields)
        begun.append(bool(first.events))
        if first.is_complete or not first.events:
            return
        time.sleep(RETRY_S)
        last = [event for event in first.events if b"\ndata: " in event][-1]
        fields["Last-Event-Id"] = last.split(b"\n")[0].split(b" ")[1].decode()
        fields["Resumes"] = name
        second = consumers.request(ports[1], f"/talk/{name}", f"{name}r", fields)
        gone_on.append(second.status == 200)

    with Site(record, workers, first_configuration=manifest) as site:
        time.sleep(2.0)
        ports = [gateway.ports["front"] for gateway in site.gateways]
        if has_trouble:
            for engine, at in zip(
                site.workers, (FIRST_KILL_S, SECOND_KILL_S), strict=False
            ):
                threading.Timer(at, engine.kill).start()
        for number in range(int(PER_S * SECONDS)):
            consumers.start(consume, random.sample(ports, 2), f"s{number}")
            time.sleep(1.0 / PER_S)
        consumers.wait()
    new_share = sum(begun) / len(begun)
    record.note(f"{sum(begun)} of {len(begun)} new streams began")
    record.note(f"{sum(gone_on)} of {len(gone_on)} went on that were taken up again")
    if len(gone_on) < MIN_TAKEN_UP:
        return True
    return sum(gone_on) / len(gone_on) >= MIN_SHARE * new_share


if __name__ == "__main__":
    run_case(__file__, case)
