#!/usr/bin/env bash
# Exits with 1 if a request with a key that was taken away ran too late, 0 if none did, 2 if the case
# couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 115 java -Dsun.net.httpserver.nodelay=true -cp target/review-2 RevokedKey review/6
