"""``gateway``: run one gateway host until it receives a stop signal."""

import argparse

from sequoiapoint.cli.settings_file import add_process_command
from sequoiapoint.protocol.gateway_settings import (
    GatewaySettings,
    load_gateway_settings,
)


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the command and its arguments."""
    add_process_command(
        commands, "gateway", "run one gateway host", load_gateway_settings, run
    )


def run(settings: GatewaySettings, path: str) -> None:
    """Run the process."""
    # Imported here, so that the other commands start fast.
    import uvloop

    from sequoiapoint.node.gateway_host import GatewayHost
    from sequoiapoint.platform import PlatformAdapter

    uvloop.install()
    GatewayHost(settings, path, PlatformAdapter()).run()
