"""Commands that run a process with a settings file."""

import argparse
import sys
from collections.abc import Callable
from typing import Any

from sequoiapoint.cli import exit_codes
from sequoiapoint.protocol import jsonc


def add_process_arguments(
    parser: argparse.ArgumentParser,
    load: Callable[[str], jsonc.LoadResult],
    start: Callable[[Any, str], None],
) -> None:
    """Make a command load a settings file and run a process with it.

    :param load: Loads the command's settings from a path.
    :param start: Runs the process, given the settings and the path of their file.
    """

    def run(arguments: argparse.Namespace) -> int:
        loaded = load(arguments.settings)
        for error in loaded.errors:
            print(error, file=sys.stderr)
        if loaded.errors:
            return exit_codes.INVALID
        start(loaded.value, arguments.settings)
        return exit_codes.OK

    parser.add_argument("--settings", required=True, metavar="FILE")
    parser.set_defaults(run=run)
