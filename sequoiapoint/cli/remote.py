"""Calls from the command line to an entry host."""

import argparse
import json
import os
import sys
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from sequoiapoint.cli import exit_codes
from sequoiapoint.protocol.errors import Failure

if TYPE_CHECKING:
    from sequoiapoint.transport import http_client

TOKEN_VARIABLE = "SEQUOIAPOINT_TOKEN"
TIMEOUT_S = 15.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments shared by all commands that call a host."""
    parser.add_argument(
        "--address", required=True, help="an entry host's IP number and port"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def call(
    arguments: argparse.Namespace,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
) -> "http_client.HttpResponse | Failure":
    """Call the host given by the arguments.

    The operator's token is read from the environment, so that it does not appear in
    process lists.
    """
    # Imported here, so that commands that call no host need no HTTP library.
    from sequoiapoint.transport import http_client

    token = os.environ.get(TOKEN_VARIABLE, "")
    authorization = {"Authorization": f"Bearer {token}"} if token else {}
    return http_client.call(
        method,
        arguments.address,
        path,
        step="command",
        body=body,
        headers={**authorization, **(headers or {})},
        timeout_s=TIMEOUT_S,
    )


def report_failure(response: "http_client.HttpResponse | Failure") -> int:
    """Print why a call failed and return the exit code."""
    if isinstance(response, Failure):
        print(f"cannot reach {response.peer}: {response.detail}", file=sys.stderr)
        return exit_codes.UNREACHABLE
    body = response.json()
    error = body.get("error", {}) if isinstance(body, dict) else {}
    reason = error.get("reason", f"status {response.status}")
    print(f"{reason}: {error.get('message', '')}", file=sys.stderr)
    return exit_codes.FAILED


def print_json(value: Any) -> None:
    """Print a value as JSON."""
    print(json.dumps(value, indent=2))
