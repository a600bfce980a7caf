#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves out the
# disruption.
cd "$(dirname "$0")/../.."
export TROUBLE="${TROUBLE:-1}"
timeout -k 5 115 java -Dsun.net.httpserver.nodelay=true -cp target/review GoneWorker review/3
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
