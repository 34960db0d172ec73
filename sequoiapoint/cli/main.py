"""The command line: parses the arguments and runs the selected command.

Only the module of the selected command is imported, as all processes of a deployment
start at the same time.
"""

import argparse
import importlib
import sys
from collections.abc import Sequence

from sequoiapoint.cli import garbage_collection

COMMANDS = {
    "serve": "run one entry host",
    "gateway": "run one gateway host",
    "check": "check a settings file",
    "config": "the operators' document",
    "status": "show what a host knows and does",
    "explain": "tell what was decided and why",
    "drain": "stop a host gracefully",
}
"""The help text of each command; a command is a module of this package."""
EXIT_CODES_HELP = (
    "exit codes: 0 done, 1 failed, 2 invalid input, 3 rejected, "
    "4 not known yet, 5 host unreachable"
)


def build_parser(arguments: Sequence[str]) -> argparse.ArgumentParser:
    """Return a parser that lists all commands and parses the selected one.

    :param arguments: The arguments to parse, of which the first that is no option
        selects the command.
    """
    parser = argparse.ArgumentParser(
        prog="sequoiapoint",
        description="Serves many language models and adapters from few accelerators.",
        epilog=EXIT_CODES_HELP,
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    selected = next((a for a in arguments if not a.startswith("-")), None)
    for name, help_text in COMMANDS.items():
        command_parser = commands.add_parser(name, help=help_text)
        if name == selected:
            module = importlib.import_module(f"sequoiapoint.cli.{name}")
            module.add_arguments(command_parser)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run one command.

    Commands that are no long-lived process end before garbage matters.

    :param argv: The arguments; defaults to those of the process.
    :return: The exit code.
    """
    argv = sys.argv[1:] if argv is None else argv
    with garbage_collection.suspended():
        arguments = build_parser(argv).parse_args(argv)
        return arguments.run(arguments)


if __name__ == "__main__":
    sys.exit(main())
