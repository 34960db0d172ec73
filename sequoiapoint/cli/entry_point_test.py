"""What happens before the command line is imported."""

import gc
import signal
import subprocess
import sys

import pytest

from sequoiapoint.cli.main import COMMANDS, main

PROGRAM = """
import runpy, signal, sys, types
signal.signal(signal.SIGHUP, signal.SIG_DFL)  # A parent may have ignored it.
module = types.ModuleType("sequoiapoint.cli.main")
module.main = lambda: print(signal.getsignal(signal.SIGHUP).name)
sys.modules["sequoiapoint.cli.main"] = module
sys.argv = ["sequoiapoint", "{command}"]
runpy.run_module("sequoiapoint", run_name="__main__")
"""


@pytest.mark.parametrize(
    ("command", "handler"), [("gateway", signal.SIG_IGN), ("status", signal.SIG_DFL)]
)
def test_a_reload_signal_does_not_end_a_gateway_that_starts(command, handler):
    """Guards against a process that ends by itself when it is told to reload early."""
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM.format(command=command)],
        capture_output=True,
        text=True,
        check=True,
    )
    assert result.stdout.split() == [handler.name]


@pytest.mark.parametrize("command", COMMANDS)
def test_a_command_imports_nothing_of_the_others(command):
    """Guards against processes that spend their start on code that they do not use."""
    program = (
        "import sys; from sequoiapoint.cli.main import build_parser;"
        f"build_parser(['{command}']); print(*sys.modules)"
    )
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    modules = set(result.stdout.split())
    assert not modules & {"json5", "difflib", "werkzeug", "pycurl", "uvloop"}
    others = COMMANDS.keys() - {command}
    assert not modules & {f"sequoiapoint.cli.{other}" for other in others}
    if command == "gateway":
        assert "sequoiapoint.protocol.settings" not in modules


@pytest.mark.parametrize("arguments", [["--help"], ["gatewaay"], []])
def test_all_commands_are_listed(arguments, capsys):
    with pytest.raises(SystemExit):
        main(arguments)
    output = "".join(capsys.readouterr())
    if arguments:
        assert all(command in output for command in COMMANDS)
    assert gc.isenabled()
