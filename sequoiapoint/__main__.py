"""Entry point of ``python -m sequoiapoint``."""

import sys

from sequoiapoint.cli.main import main

sys.exit(main())
