"""One seeded run, and what came of it."""

import time
from collections import Counter
from dataclasses import dataclass

from standins.soak.callers import Caller
from standins.soak.judge import find_violations
from standins.soak.plan import Fault, generate_faults
from standins.soak.site import SoakSite

CALLERS = 8
GOSSIP_SETTLE_S = 1.5
"""Time for the hosts to hear of each other before traffic starts."""
RECOVERY_S = 3.0
"""Time after the last fault until bounds hold again."""
IN_FORCE_S = 2.0
"""Time within which a configuration must be in force."""
DRAIN_S = 1.0
"""Time after the last caller within which servers must have nothing in work."""
STOP_CODE = 0


@dataclass(frozen=True)
class Outcome:
    """What came of a run.

    :param violations: What did not hold, a line each.
    :param logs: The ends of the gateways' logs, where something did not hold.
    """

    seed: int
    faults: list[Fault]
    statuses: Counter
    violations: list[str]
    logs: str = ""


def run_seed(seed: int) -> Outcome:
    """Play the run of a seed."""
    faults = generate_faults(seed)
    with SoakSite() as site:
        time.sleep(GOSSIP_SETTLE_S)
        callers = [Caller(f"c{n}", seed, site.caller_ports) for n in range(CALLERS)]
        for caller in callers:
            caller.start()
        began = time.monotonic()
        for fault in faults:
            time.sleep(max(0.0, began + fault.at_s - time.monotonic()))
            site.inject(fault)
        site.wait_for_faults()
        broken = _after_the_faults(site)
        for caller in callers:
            caller.stop()
        for caller in callers:
            caller.join()
        seen = [request for caller in callers for request in caller.requests]
        time.sleep(DRAIN_S)
        broken += find_violations(seen, site.backends)
        broken += [f"{b.server} still works" for b in site.backends if b.running]
        broken += site.failures()
        broken += [
            f"stopped with {code}" for code in site.exit_codes if code != STOP_CODE
        ]
        statuses = Counter(request.status for request in seen)
        logs = "" if not broken else _logs(site)
    return Outcome(seed, faults, statuses, broken, logs)


def _after_the_faults(site: SoakSite) -> list[str]:
    """Check that everything is served, and that a change takes effect everywhere."""
    time.sleep(RECOVERY_S)
    broken = []
    dead = [g.name for g in site.gateways if g.process.poll() is not None]
    broken += [f"{name} ended by itself" for name in dead]
    name = site.change_configuration()
    time.sleep(IN_FORCE_S)
    for gateway in site.gateways:
        if gateway.name in dead:
            continue
        status = gateway.send_request(f"/{name}/x", f"probe-{gateway.name}").status
        if status != 200:
            broken.append(f"{gateway.name} answers {status} on a route in force")
    for backend in site.backends:
        for gateway in site.gateways:
            backend.runs.pop(f"probe-{gateway.name}", None)
    return broken


def _logs(site: SoakSite) -> str:
    return "\n".join(f"== {g.name}\n{g.log.read_text()}" for g in site.gateways)
