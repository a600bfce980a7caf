#!/usr/bin/env bash
# Exits with 1 if a request reached a leaving worker too late, 0 if none did, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 110 java -Dsun.net.httpserver.nodelay=true -cp target/review-2 PagedListing review/8
