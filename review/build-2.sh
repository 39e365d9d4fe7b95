#!/bin/sh
# Builds the stand-ins of the cases of the second review: they are Python, compiled once so that a
# syntax error shows here. Run after the build of deploy/system.toml, at the root.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -c "import tests.processes.platform.deployment, review.support_2"
