#!/usr/bin/env bash
# Long requests to targets that answer before they have read the body: see claim.txt.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/standin2 ] || exit 2
exec target/standin2 early "$here/record.txt"
