#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
exec java -Xmx256m -Dsun.net.httpserver.nodelay=true -cp target/review-classes review.Case3 "$here"
