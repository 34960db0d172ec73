#!/bin/sh
# Checks that the stand-ins of the cases 11 to 15 load; they need no compiler.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:." PYTHONPYCACHEPREFIX=target/review-3
python3 -m compileall -q standins/site review/rig3 review/1[1-5]
python3 -c "import standins.site.deployment, review.rig3.rig"
