"""The command line: parses the arguments and runs the selected command."""

import argparse
import sys

from sequoiapoint.cli import check, config, drain, explain, gateway, serve, status

COMMANDS = (serve, gateway, check, config, status, explain, drain)
EXIT_CODES_HELP = (
    "exit codes: 0 done, 1 failed, 2 invalid input, 3 rejected, "
    "4 not known yet, 5 host unreachable"
)


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser with all commands."""
    parser = argparse.ArgumentParser(
        prog="sequoiapoint",
        description="Serves many language models and adapters from few accelerators.",
        epilog=EXIT_CODES_HELP,
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for command in COMMANDS:
        command.add_parser(commands)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run one command.

    :param argv: The arguments; defaults to those of the process.
    :return: The exit code.
    """
    arguments = build_parser().parse_args(argv)
    return arguments.run(arguments)


if __name__ == "__main__":
    sys.exit(main())
