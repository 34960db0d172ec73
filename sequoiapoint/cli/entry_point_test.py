"""What happens before the command line is imported."""

import signal
import subprocess
import sys

import pytest

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
