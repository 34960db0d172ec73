"""``drain``: stop an entry host gracefully, letting its requests finish."""

import argparse

from sequoiapoint.cli import exit_codes, remote
from sequoiapoint.protocol.errors import Failure


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    remote.add_arguments(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run the command."""
    response = remote.call(arguments, "POST", "/admin/drain", b"")
    if isinstance(response, Failure) or response.status != 200:
        return remote.report_failure(response)
    if arguments.json:
        remote.print_json(response.json())
    else:
        print(f"{arguments.address} finishes its requests and stops")
    return exit_codes.OK
