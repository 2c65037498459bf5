#!/bin/sh
# Builds the stand-ins that the scripts start: Python files of the standard library only, which are
# compiled here so that a fault in one shows before a script runs.
cd "$(dirname "$0")" && exec python3 -m compileall -q common [0-9]
