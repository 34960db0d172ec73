"""``gateway``: run one gateway host until it receives a stop signal."""

import argparse

from sequoiapoint.cli import garbage_collection
from sequoiapoint.cli.settings_file import add_process_arguments
from sequoiapoint.protocol.gateway_settings import (
    GatewaySettings,
    load_gateway_settings,
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    add_process_arguments(parser, load_gateway_settings, run)


def run(settings: GatewaySettings, path: str) -> None:
    """Run the process."""
    # Imported here, after the settings were found to be valid.
    import uvloop

    from sequoiapoint.node.gateway_host import GatewayHost
    from sequoiapoint.platform import PlatformAdapter

    uvloop.install()
    host = GatewayHost(settings, path, PlatformAdapter())
    garbage_collection.resume_after_start()
    host.run()
