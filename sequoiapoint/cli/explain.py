"""``explain``: show the decisions recorded for a request, model, adapter or server."""

import argparse
import datetime

from sequoiapoint.cli import exit_codes, remote
from sequoiapoint.protocol.errors import Failure


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    parser.add_argument("subject", help="a request id, a model, an adapter or a server")
    remote.add_arguments(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run the command."""
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
