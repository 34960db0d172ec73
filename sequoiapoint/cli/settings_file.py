"""Commands that run a process by a settings file."""

import argparse
import sys
from collections.abc import Callable
from typing import Any

from sequoiapoint.cli import exit_codes
from sequoiapoint.protocol import jsonc


def add_process_command(
    commands: argparse._SubParsersAction,
    name: str,
    help_text: str,
    load: Callable[[str], jsonc.LoadResult],
    start: Callable[[Any, str], None],
) -> None:
    """Add a command that loads its settings file and runs until it is told to stop.

    :param load: Loads settings of the command's kind.
    :param start: Runs the process with the settings and the path of their file.
    """

    def run(arguments: argparse.Namespace) -> int:
        loaded = load(arguments.settings)
        for error in loaded.errors:
            print(error, file=sys.stderr)
        if loaded.errors:
            return exit_codes.INVALID
        start(loaded.value, arguments.settings)
        return exit_codes.OK

    parser = commands.add_parser(name, help=help_text)
    parser.add_argument("--settings", required=True, metavar="FILE")
    parser.set_defaults(run=run)
