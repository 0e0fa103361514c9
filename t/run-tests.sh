#!/bin/sh
# Runs all numbered tests, or those named in TESTS (TESTS="t/t0100-*.sh").
# Prints the result and the failures of each script and a total.

cd "$(dirname "$0")/.." || exit 1
FLAVOR=${FLAVOR:-release}
export FLAVOR
mkdir -p t/output/$FLAVOR
passed=0
failed=0
red=0
for script in ${TESTS:-t/t[0-9]*.sh}; do
	name=$(basename "$script" .sh)
	timeout 300 sh "$script" >"t/output/$FLAVOR/$name.tap" 2>&1
	status=$?
	ok=$(grep -c '^ok ' "t/output/$FLAVOR/$name.tap")
	bad=$(grep -c '^not ok ' "t/output/$FLAVOR/$name.tap")
	if test $bad = 0 && { test $status != 0 || test "$ok" = 0; }; then
		bad=1
		echo "not ok - $name exited with status $status" \
			>>"t/output/$FLAVOR/$name.tap"
	fi
	red=$((red + $(grep -c '# KNOWN-RED' "t/output/$FLAVOR/$name.tap")))
	passed=$((passed + ok))
	failed=$((failed + bad))
	echo "$name: $ok ok, $bad not ok"
	grep -h '# KNOWN-RED' "t/output/$FLAVOR/$name.tap"
	test $bad = 0 || grep -A40 '^not ok' "t/output/$FLAVOR/$name.tap"
done
test $red = 0 || echo "$red known failures (see KNOWN-RED.txt)"
echo "$passed passed, $failed failed"
test $failed = 0
