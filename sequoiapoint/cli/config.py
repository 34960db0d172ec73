"""``config``: show, validate and submit the operators' document."""

import argparse
import json
import sys
from dataclasses import asdict
from pathlib import Path

from sequoiapoint.cli import exit_codes, remote
from sequoiapoint.protocol import jsonc
from sequoiapoint.protocol.document import Document
from sequoiapoint.protocol.errors import Failure

_SUBMIT_CODES = {
    "accepted": exit_codes.OK,
    "rejected": exit_codes.REJECTED,
    "invalid": exit_codes.INVALID,
    "not_known_yet": exit_codes.NOT_KNOWN_YET,
    "not_sent": exit_codes.FAILED,
}


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the actions of the command and their arguments."""
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    show = actions.add_parser("show", help="print the document in force")
    remote.add_arguments(show)
    show.set_defaults(run=run_show)
    history = actions.add_parser("history", help="list the accepted versions")
    remote.add_arguments(history)
    history.set_defaults(run=run_history)
    validate = actions.add_parser("validate", help="report every error of a document")
    validate.add_argument("file", metavar="FILE")
    validate.add_argument("--json", action="store_true", help="print JSON")
    validate.set_defaults(run=run_validate)
    submit = actions.add_parser("submit", help="submit a document")
    submit.add_argument("file", metavar="FILE")
    submit.add_argument(
        "--base", type=int, required=True, help="the version that it replaces"
    )
    remote.add_arguments(submit)
    submit.set_defaults(run=run_submit)


def run_show(arguments: argparse.Namespace) -> int:
    """Print the document that is in force."""
    response = remote.call(arguments, "GET", "/admin/config")
    if isinstance(response, Failure) or response.status != 200:
        return remote.report_failure(response)
    remote.print_json(response.json())
    return exit_codes.OK


def run_history(arguments: argparse.Namespace) -> int:
    """List the accepted versions."""
    response = remote.call(arguments, "GET", "/admin/config/history")
    if isinstance(response, Failure) or response.status != 200:
        return remote.report_failure(response)
    history = response.json()["history"]
    if arguments.json:
        remote.print_json(history)
        return exit_codes.OK
    for entry in history:
        print(f"{entry['version']}  base {entry['base']}  by {entry['operator']}")
    return exit_codes.OK


def run_validate(arguments: argparse.Namespace) -> int:
    """Report all errors of a document."""
    errors = jsonc.load_file(arguments.file, Document).errors
    _print_errors([asdict(e) for e in errors], arguments)
    return exit_codes.INVALID if errors else exit_codes.OK


def run_submit(arguments: argparse.Namespace) -> int:
    """Submit a document and print what is known of its result."""
    errors = jsonc.load_file(arguments.file, Document).errors
    if errors:
        _print_errors([asdict(e) for e in errors], arguments)
        return exit_codes.INVALID
    response = remote.call(
        arguments,
        "POST",
        "/admin/config",
        Path(arguments.file).read_bytes(),
        {"X-Base-Version": str(arguments.base), "Content-Type": "application/json"},
    )
    body = None if isinstance(response, Failure) else response.json()
    if not isinstance(body, dict) or "result" not in body:
        return remote.report_failure(response)
    if arguments.json:
        remote.print_json(body)
    else:
        _print_result(body)
    return _SUBMIT_CODES[body["result"]]


def _print_errors(errors: list[dict], arguments: argparse.Namespace) -> None:
    if arguments.json:
        print(json.dumps({"errors": errors}))
        return
    for error in errors:
        print(f"{error['file']}:{error['line']}: {error['message']}", file=sys.stderr)
    if not errors:
        print(f"{arguments.file}: no errors")


def _print_result(body: dict) -> None:
    result = body["result"]
    if result == "accepted":
        print(f"accepted: version {body['version']} is in force")
    elif result == "rejected":
        print(f"rejected: {body['reason']}; version {body['version']} is in force")
        for entry in body["changed_by"]:
            print(f"  version {entry['version']} by {entry['operator']}")
    elif result == "invalid":
        for error in body["errors"]:
            print(f"line {error['line']}: {error['message']}")
    else:
        print(f"{result.replace('_', ' ')}: submission {body['submission']}")
