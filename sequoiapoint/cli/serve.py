"""``serve``: run one entry host until it receives a stop signal or is drained."""

import argparse

from sequoiapoint.cli.settings_file import add_process_command
from sequoiapoint.protocol.settings import Settings, load_settings
from sequoiapoint.transport import logs


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the command and its arguments."""
    add_process_command(commands, "serve", "run one entry host", load_settings, run)


def run(settings: Settings, path: str) -> None:
    """Run the process."""
    logs.set_up(settings.log_level, host=settings.host)
    # Imported here, so that the other commands start fast.
    from sequoiapoint.node.entry_host import EntryHost

    EntryHost(settings).run()
