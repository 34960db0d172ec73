"""A worker sends second copies of some answers, late; requests run twice.

Exits with 1 if a request that may run once at most has run more than once, or was
answered 503 although it has run; with 0 if not, and with 2 if the case could not run.
"""

import asyncio
import os
import random
import sys
import traceback
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from site_under_test import Answer, Site, plain_route, plain_service  # noqa: E402

GATEWAYS = ("edge-a-1", "edge-b-1")
SLOTS, QUEUE, WORK_MS = 6, 2, 45.0
ATTEMPTS = 3
RATE_PER_S = 160.0
"""A fifth more than the worker can run, so that it turns requests away."""
EXTRA_SHARE = 0.03
"""Share of the answers that are sent twice, the largest of the site file."""
SPELL_S, PAUSE_S = 5.0, 1.0
"""Length of the trouble, the largest of the site file for it, and time between."""
BUDGET_S, TIMEOUT_MS = 1.5, 800
CALM_S, LENGTH_S = 3.0, 90.0


async def send_all(site: Site) -> list[Answer]:
    """Send requests that may run once at most, at random moments."""
    tasks = []
    for number in range(round(RATE_PER_S * LENGTH_S)):
        gateway = GATEWAYS[number % len(GATEWAYS)]
        request = site.send(gateway, "POST", f"/tile/{number}", BUDGET_S, body=b"tile")
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(random.expovariate(RATE_PER_S))
    return list(await asyncio.gather(*tasks))


async def run(site: Site) -> int:
    """Play the case; return the exit code."""
    changes = {"timeout-ms": TIMEOUT_MS, "attempts": ATTEMPTS}
    route = plain_route("tile", "web", kind="mutating", **changes)
    await site.write_manifest(1, [route], [plain_service("web")])
    trouble_file = site.temporary / "trouble"
    site.add_worker(
        "i-web-0",
        "web",
        "a",
        work_ms=WORK_MS,
        slots=SLOTS,
        queue=QUEUE,
        tells_no_load=1,
        trouble="extra",
        trouble_file=trouble_file,
        share=EXTRA_SHARE,
    )
    for name in GATEWAYS:
        site.add_gateway(name, name.split("-")[1])
    await site.wait_until_ready()
    await asyncio.sleep(3.0)
    sent = asyncio.create_task(send_all(site))
    await asyncio.sleep(CALM_S)
    while os.environ.get("TROUBLE") != "0" and not sent.done():
        trouble_file.touch()
        site.note("some answers are followed by a second copy, late")
        await asyncio.wait([sent], timeout=SPELL_S)
        trouble_file.unlink()
        site.note("answers are sound again")
        await asyncio.wait([sent], timeout=PAUSE_S)
    answers = await sent
    await asyncio.sleep(1.0)
    runs = site.runs()
    twice = [a for a in answers if runs.get(a.request_id, 0) > 1]
    promised = [a for a in answers if a.status in (408, 421, 429, 503)]
    false = [a for a in promised if runs.get(a.request_id)]
    served = sum(a.status == 200 and a.is_complete for a in answers)
    for answer in twice:
        site.note(f"{answer.request_id} has run {runs[answer.request_id]} times")
    for answer in false:
        site.note(f"{answer.request_id} was answered {answer.status} and has run")
    print(
        f"asked {len(answers)}, served {served}, refused {len(promised)}, "
        f"run twice {len(twice)}, refused and run {len(false)}"
    )
    if not served:
        return 2
    return int(bool(twice or false))


def main() -> int:
    """Run the case in a deployment of its own."""
    try:
        with Site(FOLDER) as site:
            return asyncio.run(run(site))
    except Exception:
        traceback.print_exc()
        return 2


sys.exit(main())
