#!/usr/bin/env bash
# Check that the stand-ins of the scripts in review/6 to review/10 can run.
# They are Python: the project's own come with the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=target/deps:review/common-2 python3 -c 'import deployment'
