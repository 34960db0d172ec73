"""``serve``: run one entry host until it receives a stop signal or is drained."""

import argparse

from sequoiapoint.cli import garbage_collection
from sequoiapoint.cli.settings_file import add_process_arguments
from sequoiapoint.protocol.settings import Settings, load_settings


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    add_process_arguments(parser, load_settings, run)


def run(settings: Settings, path: str) -> None:
    """Run the process."""
    # Imported here, after the settings were found to be valid.
    from sequoiapoint.node.entry_host import EntryHost
    from sequoiapoint.transport import logs

    logs.set_up(settings.log_level, host=settings.host)
    host = EntryHost(settings)
    garbage_collection.resume_after_start()
    host.run()
