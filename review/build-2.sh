#!/bin/sh
# Builds what the cases 6 to 10 start, after the build line of deploy/system.toml.
# All stand-ins are Python: those in standins/ and the ones beside the cases.  They need
# no other libraries than the system itself, which that build has put into target/deps.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=target/deps
python3 -m compileall -q sequoiapoint standins review target/deps
