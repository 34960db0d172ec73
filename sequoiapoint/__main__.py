"""Entry point of ``python -m sequoiapoint``."""

import signal
import sys

if sys.argv[1:2] == ["gateway"]:
    # A reload signal must not end a gateway that has not read its settings yet; the
    # imports below take a quarter of a second.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from sequoiapoint.cli.main import main  # noqa: E402

sys.exit(main())
