#!/bin/sh
# Builds what the scripts of the second review start. All stand-ins, the project's own store too, run
# in the script's Python process, so it is enough to compile and import them. Needs the build of the
# deploy file.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:src:.
python3 -m compileall -q review/second review/4 review/5 standin
python3 -c "
import review.second.case
import review.second.client
import review.second.deployment
import review.second.record
import review.second.server
import standin.mesh_store
"
echo "stand-ins are ready"
