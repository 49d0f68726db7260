#!/bin/sh
# Rebuilds msg.capnp.go from msg.capnp; needs Debian's capnproto package. The output is committed.
set -eu
cd "$(dirname "$0")"
std=$(go list -m -f '{{.Dir}}' capnproto.org/go/capnp/v3)/std
bin=$(mktemp -d)
go build -o "$bin/capnpc-go" capnproto.org/go/capnp/v3/capnpc-go
capnp compile -I "$std" -o"$bin/capnpc-go" msg.capnp
rm -r "$bin"
