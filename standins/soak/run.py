"""One seeded run and its outcome."""

import time
from collections import Counter
from dataclasses import dataclass

from standins.soak.callers import Caller
from standins.soak.judge import find_violations, limit_violations
from standins.soak.plan import Fault, generate_faults
from standins.soak.site import SoakSite

CALLERS = 8
GOSSIP_SETTLE_S = 1.5
"""Time for the hosts to discover each other by gossip before traffic starts."""
RECOVERY_S = 3.0
"""Time after the last fault within which the system must recover."""
CONFIGURATION_IN_FORCE_TIMEOUT_S = 2.0
"""Time within which a changed configuration must be in force."""
DRAIN_S = 1.0
"""Time after the last caller ended within which servers must end all requests."""
STOP_EXIT_CODE = 0


@dataclass(frozen=True)
class Outcome:
    """The outcome of a run.

    :param statuses: The number of requests by response status.
    :param violations: The properties that did not hold, one line each.
    :param logs: The gateways' logs, if there are violations.
    """

    seed: int
    faults: list[Fault]
    statuses: Counter
    violations: list[str]
    logs: str = ""


def run_seed(seed: int) -> Outcome:
    """Run the plan of a seed and check what was observed."""
    faults = generate_faults(seed)
    with SoakSite() as site:
        time.sleep(GOSSIP_SETTLE_S)
        callers = [Caller(f"c{n}", seed, site.caller_ports) for n in range(CALLERS)]
        for caller in callers:
            caller.start()
        started_at = time.monotonic()
        for fault in faults:
            time.sleep(max(0.0, started_at + fault.at_s - time.monotonic()))
            site.inject(fault)
        site.wait_for_faults()
        violations = _check_recovery(site)
        for caller in callers:
            caller.stop()
        for caller in callers:
            caller.join()
        requests = [request for caller in callers for request in caller.requests]
        time.sleep(DRAIN_S)
        violations += find_violations(requests, site.backends)
        for period in site.limit_periods:
            violations += [
                f"{period.backend.server}: {violation}"
                for violation in limit_violations(
                    period.backend.arrivals,
                    period.per_s,
                    period.started_at,
                    period.ended_at,
                )
            ]
        violations += [f"{b.server} still works" for b in site.backends if b.running]
        violations += site.failures()
        violations += [
            f"stopped with {code}" for code in site.exit_codes if code != STOP_EXIT_CODE
        ]
        statuses = Counter(request.status for request in requests)
        logs = "" if not violations else _collect_logs(site)
    return Outcome(seed, faults, statuses, violations, logs)


def _check_recovery(site: SoakSite) -> list[str]:
    """Check that all gateways run, and that a configuration change reaches each."""
    time.sleep(RECOVERY_S)
    violations = []
    exited = [g.name for g in site.gateways if g.process.poll() is not None]
    violations += [f"{name} ended by itself" for name in exited]
    name = site.change_configuration()
    time.sleep(CONFIGURATION_IN_FORCE_TIMEOUT_S)
    for gateway in site.gateways:
        if gateway.name in exited:
            continue
        status = gateway.send_request(f"/{name}/x", f"probe-{gateway.name}").status
        if status != 200:
            violations.append(f"{gateway.name} answers {status} on a route in force")
    for backend in site.backends:
        for gateway in site.gateways:
            backend.runs.pop(f"probe-{gateway.name}", None)
    return violations


def _collect_logs(site: SoakSite) -> str:
    return "\n".join(f"== {g.name}\n{g.log.read_text()}" for g in site.gateways)
