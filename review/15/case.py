"""A part of prompts crashes each engine that begins to write an answer on it.

The engines' answers have neither a length nor chunks and end with their channel.  Each
engine is back two seconds after its crash, empty but for its disk.
"""

import time

from review.rig3.rig import Consumers, Record, Site, run_case
from standins.site.deployment import configuration

PART = "dead01"
SECONDS = 25.0
INTERVAL_S = 0.5
SOUND = 4
"""Sound requests for each one with the part."""
CONTACT_S = 3.0
"""``contact-ms``, after which the rule holds."""
COUNTED_CRASHES = 5
MAX_LATER = 3
"""BUDGET is broken by more than three requests that reach engines later."""


def case(record: Record, has_trouble: bool) -> bool:
    """Return whether requests with the part cease to reach engines in time."""
    engine = {"service": "lm", "held": ["oak"], "event_interval_s": 0.02}
    engine |= {"is_unframed": True, "deadly_part": PART, "deadly_events": 1}
    workers = [engine | {"name": f"lm-{n}", "zone": f"z{n % 2}"} for n in range(4)]
    workers.append({"name": "web-0", "service": "web", "zone": "z0"})
    manifest = configuration()
    for model in manifest["services"][0]["engine"]["models"]:
        model |= {"load-s": 2.6, "disk-s": 0.76, "warm-s": 0.38}
    consumers = Consumers(record)
    with Site(record, workers, 2, 2, manifest, restart_after_s=2.0) as site:
        time.sleep(2.0)
        for number in range(int(SECONDS / INTERVAL_S)):
            port = site.gateways[number % 2].ports["front"]
            for other in range(SOUND):
                name = f"sound{number}-{other}"
                sound = {"Prompt_Prefix": f"aa01:5,{number:04x}{other:04x}f:2"}
                consumers.stream(port, f"/talk/{name}", name, 5, **sound)
            if has_trouble:
                deadly = {"Prompt_Prefix": f"aa01:5,{PART}:3,{number:08x}:2"}
                consumers.stream(
                    port, f"/talk/deadly{number}", f"deadly{number}", 9, **deadly
                )
            time.sleep(INTERVAL_S)
        consumers.wait()
    lines = [line for worker in site.workers for line in worker.lines]
    crashes = sorted(line["at"] for line in lines if line["event"] == "crash")
    arrivals = [
        line["at"]
        for line in lines
        if line["event"] == "run" and PART in line.get("parts", "")
    ]
    later = 0
    if len(crashes) >= COUNTED_CRASHES:
        since = crashes[COUNTED_CRASHES - 1] + CONTACT_S
        later = sum(at > since for at in arrivals)
    sound_answers = [a for a in consumers.answers if a.request_id.startswith("sound")]
    whole = sum(a.is_complete and len(a.events) == 5 for a in sound_answers)
    record.note(
        f"{len(crashes)} crashes, {len(arrivals)} requests with the part reached "
        f"engines, {later} of them later than {CONTACT_S:g} s after crash "
        f"{COUNTED_CRASHES}; {whole} of {len(sound_answers)} sound requests were whole"
    )
    return later <= MAX_LATER


if __name__ == "__main__":
    run_case(__file__, case)
