"""``explain``: show why a host decided as it did, or how it would decide now.

``explain SUBJECT`` shows the decisions recorded for a request, model, adapter or server
by ``serve``.  ``explain --would`` asks a gateway where it would route a request.
"""

import argparse
import datetime
import sys
import urllib.parse
from typing import Any

from sequoiapoint.cli import exit_codes, remote
from sequoiapoint.protocol.errors import Failure

PARAMETERS = (
    ("host", "the host name of the request"),
    ("path", "the path of the request"),
    ("route", "the name of a route, in place of host and path"),
    ("model", "the model"),
    ("adapter", "the adapter of the model"),
    ("organisation", "the organisation for which to ask"),
    ("key-label", "the label of a key, in place of the organisation; never the key"),
    ("prompt-tokens", "the size of the prompt"),
)
"""The parameters of a request that is not sent; the gateway validates them."""
HEADINGS = ("server", "zone", "reason", "load", "slots", "time", "notes")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    parser.add_argument(
        "subject", nargs="?", help="a request id, a model, an adapter or a server"
    )
    parser.add_argument(
        "--would",
        action="store_true",
        help="ask a gateway where it would route a request now, without sending it; "
        "the address is its metrics_address",
    )
    for name, help_text in PARAMETERS:
        parser.add_argument(f"--{name}", help=f"with --would: {help_text}")
    remote.add_arguments(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run the command."""
    parameters = _parameters(arguments)
    if arguments.would == bool(arguments.subject) or (
        parameters and not arguments.would
    ):
        print("expected a subject, or --would with parameters", file=sys.stderr)
        return exit_codes.INVALID
    if arguments.would:
        return _explain_would(arguments, parameters)
    return _explain_subject(arguments)


def _parameters(arguments: argparse.Namespace) -> dict[str, str]:
    names = [name.replace("-", "_") for name, _ in PARAMETERS]
    given = {name: getattr(arguments, name) for name in names}
    return {name: value for name, value in given.items() if value is not None}


def _explain_subject(arguments: argparse.Namespace) -> int:
    response = remote.call(arguments, "GET", f"/admin/explain/{arguments.subject}")
    if isinstance(response, Failure) or response.status != 200:
        return remote.report_failure(response)
    explanation = response.json()
    if arguments.json:
        remote.print_json(explanation)
        return exit_codes.OK
    for entry in explanation["decisions"]:
        seconds = entry["at_ms"] / 1000
        at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
        pairs = " ".join(f"{k}={v}" for k, v in entry["fields"].items())
        print(f"{at.isoformat(timespec='milliseconds')} {entry['step']} {pairs}")
    for copy in explanation["copies"]:
        print(f"copy {copy['artifact']} on {copy['server']}: {copy['state']}")
    if not explanation["decisions"] and not explanation["copies"]:
        print(f"this host knows nothing of {arguments.subject!r}")
    return exit_codes.OK


def _explain_would(arguments: argparse.Namespace, parameters: dict[str, str]) -> int:
    query = urllib.parse.urlencode(parameters)
    response = remote.call(arguments, "GET", f"/explain?{query}")
    if isinstance(response, Failure) or response.status != 200:
        code = remote.report_failure(response)
        is_invalid = not isinstance(response, Failure) and response.status == 400
        return exit_codes.INVALID if is_invalid else code
    explanation = response.json()
    if arguments.json:
        remote.print_json(explanation)
        return exit_codes.OK
    for line in would_lines(explanation):
        print(line)
    return exit_codes.OK


def would_lines(explanation: dict[str, Any]) -> list[str]:
    """Return an explanation as lines of text: the decisions, and a table of servers."""
    host = explanation["host"]
    version = host["configuration"]
    lines = [
        _line(
            f"host {host['name']}",
            f"zone {host['zone']}",
            "no configuration yet" if version is None else f"configuration {version}",
            "draining" if host["is_draining"] else "",
        )
    ]
    route = explanation["route"]
    if route is not None:
        lines.append(
            _line(
                f"route {route['name']}",
                f"service {explanation['service']}",
                f"priority {explanation['priority']}",
                f"goal {route['goal_s']} s",
            )
        )
    return [
        *lines,
        _admission_line(explanation["admission"]),
        _decision_line(explanation["decision"]),
        *_table([_row(server) for server in explanation["servers"]]),
    ]


def _line(*parts: str) -> str:
    return "  ".join(part for part in parts if part)


def _admission_line(admission: dict[str, Any]) -> str:
    allowance = admission.get("allowance")
    verdict = f"rejected: {admission['reason']} ({admission['status']})"
    parts = ["admitted" if admission["is_admitted"] else verdict]
    if admission.get("organisation"):
        parts.append(f"organisation {admission['organisation']}")
    if allowance:
        parts.append(f"cost {allowance['cost']:g}")
        parts.append(f"credit {allowance['credit']:g}")
        if allowance["is_asked"]:
            parts.append(f"asks {allowance['allocator'] or 'no host'} for more")
        if allowance["is_silent"]:
            parts.append("allocator silent")
    if "retry_after_s" in admission:
        parts.append(f"retry after {admission['retry_after_s']} s")
    return _line(*parts)


def _decision_line(decision: dict[str, Any]) -> str:
    parts = [decision["step"]]
    if decision["server"]:
        parts.append(decision["server"])
    if decision["reason"]:
        parts.append(decision["reason"])
    if decision["allocator"]:
        where = f"{decision['allocator']} in {decision['allocator_zone']}"
        parts.append(f"allocator {where}")
    if decision["servers"]:
        parts.append(f"for one of {len(decision['servers'])} servers")
    if decision["predicted_wait_s"] is not None:
        parts.append(f"predicted wait {decision['predicted_wait_s']} s")
    if decision["wait_limit_s"] is not None:
        parts.append(f"waits at most {decision['wait_limit_s']} s")
    return _line(*parts)


def _row(server: dict[str, Any]) -> tuple[str, ...]:
    notes = []
    if server["limit_per_s"] is not None:
        notes.append(f"limit {server['limit_per_s']:g}/s")
    if server["back_off_s"]:
        notes.append(f"back-off {server['back_off_s']:g} s")
    if server["leaving_s"] is not None:
        notes.append(f"leaving for {server['leaving_s']:g} s")
    if server["is_avoided"]:
        notes.append("avoided")
    time = server["relative_time"]
    return (
        server["server"],
        server["zone"],
        server["reason"],
        f"{server['load']:.1f}",
        str(server["slots"]),
        "-" if time is None else f"{time:.2f}",
        ", ".join(notes),
    )


def _table(rows: list[tuple[str, ...]]) -> list[str]:
    if not rows:
        return []
    widths = [max(map(len, column)) for column in zip(HEADINGS, *rows, strict=True)]
    return [
        "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip()
        for row in (HEADINGS, *rows)
    ]
