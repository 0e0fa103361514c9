#!/bin/sh

test_description='a part that crashes its upstreams, sent to all entries

t/helper/test-crash-items.c runs the lists of all entries in simulated time:
requests with a bad part, no two alike, come at any entry beside sound ones of
the same account and first part.  The bounds are those of the system: 3 s after
the fifth death all entries refuse the part, at most 3 later runs reach an
upstream, no sound request is refused, and at most 2% are suspect.'

. "$(dirname "$0")/test-lib.sh"

# spread_bounds FILE MESSAGES BYTES: checks the bounds, and that no entry sends
# more messages or bytes in a second. Messages: ten rounds to 7 receivers, or to 3
# in a large fleet, and as many comparisons and their answers as may fall together.
# Bytes: less than a quarter of an entry's link of 40 Mbit/s.
spread_bounds () {
	cat "$1"
	awk -v messages=$2 -v bytes=$3 '
		$1 == "part" { parts++
			if ($4 < 3 || $6 > 3000 || $8 > 3) bad++ }
		$1 == "fleet" { fleets++
			if (!$3 || $5 < 1000 || $7 || $9) bad++
			if ($11 > messages || $13 > bytes || $15 > 1024) bad++
			if ($17 * 50 > $5) bad++ }
		END { exit !(parts && fleets == 1 && !bad) }' "$1"
}

# Guards against: a bad part takes down upstreams one after another, or sound
# requests in flight with it are refused.
for run in "7 14 5 0 1" "7 14 20 20 2 two" "7 14 5 5 3 causes" \
	   "7 30 50 0 4 causes two" "7 100 5 5 5 causes two" \
	   "7 100 100 10 6 two" "2 14 5 5 7 causes" "9 30 20 5 8 causes two"; do
	test_expect_success "entries, upstreams, delay ms, loss %, seed: $run" '
		test-crash-items $run >actual &&
		spread_bounds actual 75 1000000
	'
done

# Guards against: news take longer than the bound in a large fleet, or cost an
# entry more than in a small one.
for run in "260 14 20 0 5" "260 14 20 5 6 causes two" "260 100 20 5 7" \
	   "260 100 20 20 8 two causes"; do
	test_expect_success "entries, upstreams, delay ms, loss %, seed: $run" '
		test-crash-items $run >actual &&
		spread_bounds actual 50 1200000
	'
done

test_expect_success 'without the exchange the bound is broken' '
	test-crash-items 260 14 5 0 9 alone >actual &&
	cat actual &&
	awk "\$1 == \"part\" { exit !(\$8 > 3) }" actual
'

test_done
