"""``status``: show the state of an entry host."""

import argparse

from sequoiapoint.cli import exit_codes, remote
from sequoiapoint.protocol.errors import Failure


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    remote.add_arguments(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run the command."""
    response = remote.call(arguments, "GET", "/admin/status")
    if isinstance(response, Failure) or response.status != 200:
        return remote.report_failure(response)
    status = response.json()
    if arguments.json:
        remote.print_json(status)
        return exit_codes.OK
    print(f"host {status['host']}  zone {status['zone']}  ready {status['ready']}")
    print(
        f"configuration {status['configuration_version']}  "
        f"log read {status['log_staleness_s']} s ago"
    )
    for zone, owner in sorted(status["owners"].items()):
        print(f"owner of {zone}: {owner['host']} (claim {owner['claim']})")
    for member in sorted(status["members"], key=lambda m: m["host"]):
        leaving = "  leaving" if member["is_leaving"] else ""
        print(f"member {member['host']}  {member['zone']}{leaving}")
    for holding in sorted(status["holdings"], key=lambda h: h["server"]):
        print(
            f"{holding['server']}  {holding['artifact']}  {holding['mb']} MB  "
            f"{holding['state']}"
        )
    for server in status["leaving_servers"]:
        print(f"leaving {server}")
    return exit_codes.OK
