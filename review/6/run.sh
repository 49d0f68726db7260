#!/usr/bin/env bash
# Half of the machines that carry traffic leave, then orders are sent: see claim.txt.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/standin2 ] || exit 2
exec target/standin2 leave "$here/record.txt"
