#!/bin/sh
# Checks t/model/ticket.pml with Spin: the complete model must have no
# violation, and the model without one part of the design must have one.

cd "$(dirname "$0")" || exit 1
dir=$(mktemp -d) || exit 1
trap 'rm -rf "$dir"' EXIT

# violations [-DNAME...]: prints the number of errors that Spin finds.
violations () {
	(cd "$dir" && rm -f pan* ./*.trail &&
	 spin "$@" -a "$OLDPWD/ticket.pml" >spin.out 2>&1 &&
	 gcc -O2 -w -o pan pan.c && ./pan -m100000 >pan.out 2>&1
	 sed -n 's/.*errors: \([0-9]*\)$/\1/p' pan.out)
}

failed=0
errors=$(violations)
states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$dir/pan.out")
echo "ticket: $errors violations in $states states"
test "$errors" = 0 || failed=1
for part in NO_MARK NO_FLOOR NO_BOOT; do
	errors=$(violations -D$part)
	echo "ticket, $part: $errors violations"
	test "$errors" != 0 && test -n "$errors" || failed=1
done
exit $failed
