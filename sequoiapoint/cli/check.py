"""``check``: report all errors of a settings file."""

import argparse
import json
import sys
from dataclasses import asdict

from sequoiapoint.cli import exit_codes
from sequoiapoint.protocol.settings import load_settings


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    parser.add_argument("--settings", required=True, metavar="FILE")
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run the command."""
    errors = load_settings(arguments.settings).errors
    if arguments.json:
        print(json.dumps({"errors": [asdict(e) for e in errors]}))
    else:
        for error in errors:
            print(error, file=sys.stderr)
        if not errors:
            print(f"{arguments.settings}: no errors")
    return exit_codes.INVALID if errors else exit_codes.OK
