"""Checks that the documentation matches the program."""

import re
from pathlib import Path

import pytest

from sequoiapoint.cli.main import build_parser
from sequoiapoint.coordination import planned_stop
from sequoiapoint.protocol.jsonc import load_text
from sequoiapoint.protocol.outcomes import Reason
from sequoiapoint.protocol.settings import Settings

DOCS = Path(__file__).parent.parent / "docs"


@pytest.mark.parametrize("reason", list(Reason), ids=lambda r: r.label)
def test_every_error_reason_is_documented_for_callers(reason):
    rows = (DOCS / "callers.md").read_text().splitlines()
    row = next(r for r in rows if r.startswith("|") and reason.label in r)
    assert f"| {reason.status} | {reason.outcome.value} |" in row


def test_the_example_settings_for_operators_are_valid():
    text = (DOCS / "operators.md").read_text()
    block = text[text.index("    {") : text.index("## The document")]
    block = block.replace("…64 hexadecimal digits…", "0" * 64)
    assert load_text(block, "operators.md", Settings).errors == ()


def test_the_times_of_a_stop_are_documented_for_operators():
    page = (DOCS / "operators.md").read_text()
    assert f"no new request from {planned_stop.LISTENING_S:g} s;" in page
    assert f"refused after {planned_stop.QUEUE_S:g} s;" in page
    assert f"until {planned_stop.ANSWER_MARGIN_S:g} s before" in page


def documented_commands():
    for page in ("operators.md", "DEVELOPERS.md"):
        for line in (DOCS / page).read_text().splitlines():
            match = re.match(r"    sequoiapoint (.*)", line)
            if match:
                yield match[1]


@pytest.mark.parametrize("command", list(documented_commands()))
def test_every_documented_command_is_accepted_by_the_parser(command):
    arguments = command.replace("VERSION", "1").split()
    assert build_parser(arguments).parse_args(arguments).run


@pytest.mark.parametrize("target", re.findall(r"make ([a-z]+)", "make demo make test"))
def test_the_make_targets_of_the_readme_exist(target):
    makefile = (DOCS.parent / "Makefile").read_text()
    assert f"\n{target}: setup" in makefile
