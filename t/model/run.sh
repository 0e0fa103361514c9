#!/bin/sh
# Checks t/model/ticket.pml, and that each part of the design is needed:
# without it the checker must find a violation.

cd "$(dirname "$0")" || exit 1
dir=$(mktemp -d) || exit 1
trap 'rm -rf "$dir"' EXIT

# violations DEFINE...: the number of errors that the checker finds.
violations () {
	(cd "$dir" && rm -f pan* ./*.trail &&
	 spin "$@" -a "$OLDPWD/ticket.pml" >spin.out 2>&1 &&
	 gcc -O2 -w -o pan pan.c && ./pan -m100000 >pan.out 2>&1
	 sed -n 's/.*errors: \([0-9]*\)$/\1/p' pan.out)
}

failed=0
found=$(violations)
states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$dir/pan.out")
echo "ticket: $found violations in $states states"
test "$found" = 0 || failed=1
for part in NO_MARK NO_FLOOR NO_BOOT; do
	found=$(violations -D$part)
	echo "ticket, $part: $found violations"
	test "$found" != 0 && test -n "$found" || failed=1
done
exit $failed
