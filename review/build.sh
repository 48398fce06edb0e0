#!/usr/bin/env bash
# Builds the stand-ins of the cases: they need Python's standard library alone and are compiled only.
# Run it after the build command of deploy/balancer.toml, whose environment the scripts use.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
