# Judges the output of `go test ./...` (second file) by the list of known failures (first file).
#
# A line of the list is "package test: cause; issue N", with the package's folder below the module
# ("." for the module's own) and a test's or subtest's full name. There are at most three.
# Exit status: 0 if exactly the listed tests failed, 1 otherwise. status is go test's exit status.

function fault(text) {
	print "KNOWN-RED: " text
	faults++
}

# folder turns an import path into the package's folder below the module.
function folder(path) {
	if (path == module) return "."
	sub("^" module "/", "", path)
	return path
}

# closePackage judges the failures seen since the last package's line.
function closePackage(path,    name, parent, named) {
	for (name in failed) {
		parent = name
		while (sub("/[^/]*$", "", parent)) parents[parent] = 1
	}
	for (name in failed) {
		if (name in parents) continue
		named = 1
		if ((path " " name) in cause) seen[path " " name] = 1
		else fault(path " " name " failed and is not listed")
	}
	if (crashed) fault(path " did not run to its end: " crashed)
	else if (!named) fault(path " failed without naming a test")
	forget()
}

function forget() {
	delete failed
	delete parents
	crashed = ""
}

# The list of known failures.
FILENAME == ARGV[1] {
	if ($0 !~ /^[^ ]+ [^ :]+: .+; issue [0-9]+$/) {
		fault("line " FNR " is not \"package test: cause; issue N\": " $0)
		next
	}
	test = substr($0, 1, index($0, ": ") - 1)
	if (test in cause) fault("line " FNR " lists " test " again")
	cause[test] = substr($0, index($0, ": ") + 2)
	listed++
	next
}

# The tests' output: each package's lines end with its "ok" or "FAIL" line.
/^ *--- FAIL: / { failed[$3] = 1 }
/^(panic:|fatal error:|signal: )/ { crashed = $0 }
/^(ok  |\?   )\t/ { forget() }
/^FAIL\t/ {
	if ($0 ~ /\[(build|setup) failed\]$/) crashed = $NF == "failed]" ? $(NF - 1) " " $NF : $0
	closePackage(folder($2))
	failures++
}

END {
	if (listed > 3) fault(listed " tests are listed; at most three may be")
	for (test in cause) {
		if (!(test in seen)) fault(test " is listed and did not fail: take it off the list")
	}
	if (status != 0 && !failures) fault("go test failed with status " status " and named no package")
	for (test in seen) print "known to fail: " test ": " cause[test]
	exit faults > 0
}
