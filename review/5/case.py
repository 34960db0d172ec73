"""Three workers of a service crash together; a page that was in flight is refused.

Exits with 1 if more proper requests end with a 4xx of the system than the rule DENIED
allows, with 0 if not, and with 2 if the case could not run.
"""

import asyncio
import os
import sys
import traceback
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from site_under_test import Answer, Site, plain_route, plain_service  # noqa: E402

WORKERS = 20
CRASHED = 5
"""A share of 0.25 of the workers, the largest of the site file."""
WORK_MS = 2_000.0
RATE_PER_S = 40.0
CALM_S, DOWN_S, LENGTH_S = 6.0, 2.0, 30.0
BUDGET_S = 8.0
GATEWAYS = ("edge-a-1", "edge-b-1")


async def send_all(site: Site) -> list[Answer]:
    """Send the page's requests at a steady rate, to the gateways in turn."""
    tasks = []
    for number in range(round(RATE_PER_S * LENGTH_S)):
        gateway = GATEWAYS[number % len(GATEWAYS)]
        request = site.send(gateway, "GET", "/ward/canopy", BUDGET_S)
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(1.0 / RATE_PER_S)
    return list(await asyncio.gather(*tasks))


async def crash_rack(site: Site) -> None:
    """Let all workers of one rack crash at the same moment, and come back."""
    await asyncio.sleep(CALM_S)
    rack = [f"i-web-{number}" for number in range(CRASHED)]
    for name in rack:
        site.crash_worker(name)
    await asyncio.sleep(DOWN_S)
    for name in rack:
        site.restart_worker(name)


async def run(site: Site) -> int:
    """Play the case; return the exit code."""
    route = plain_route("ward", "web", **{"timeout-ms": 8_000})
    await site.write_manifest(1, [route], [plain_service("web")])
    for number in range(WORKERS):
        zone = "ab"[number % 2]
        site.add_worker(f"i-web-{number}", "web", zone, work_ms=WORK_MS)
    for name in GATEWAYS:
        site.add_gateway(name, name.split("-")[1])
    await site.wait_until_ready()
    await asyncio.sleep(3.0)
    crash = None
    if os.environ.get("TROUBLE") != "0":
        crash = asyncio.create_task(crash_rack(site))
    answers = await send_all(site)
    if crash is not None:
        await crash
    refused = [a for a in answers if 300 <= a.status < 500]
    refused = [a for a in refused if a.status not in (408, 421, 429)]
    served = sum(a.status == 200 and a.is_complete for a in answers)
    allowed = 5 + len(answers) / 500
    site.note(f"{len(answers)} proper requests, {served} served")
    site.note(f"{len(refused)} ended with a 3xx or 4xx, allowed are {allowed:.1f}")
    print(f"asked {len(answers)}, served {served}, denied {len(refused)} > {allowed}?")
    if served < len(answers) / 20:
        return 2
    return int(len(refused) > allowed)


def main() -> int:
    """Run the case in a deployment of its own."""
    try:
        with Site(FOLDER) as site:
            return asyncio.run(run(site))
    except Exception:
        traceback.print_exc()
        return 2


sys.exit(main())
