#!/bin/sh

test_description='a request that crashes its upstream, sent through all entries

t/helper/test-crash.c runs the crash lists of several entries and gates in
simulated time: a crashing request is repeated every 40 ms through each
entry, beside other requests.'

. "$(dirname "$0")/test-lib.sh"

# crash_bounds FILE MS: checks that at most two upstreams crashed, in at most
# two deaths, and that no other request waited longer than MS.  MS allows for
# the restart of an upstream and one second or, where there are no upstreams
# besides these two, for two restarts and the runs of the suspects one after
# another (32 in flight of 60 ms each).
crash_bounds () {
	cat "$1"
	awk -v bound=$2 '{ exit !($2 <= 2 && $4 <= 2 && $6 > 0 && $8 > 1000 &&
		$10 < bound) }' "$1"
}

for run in "8 10 60 5 1" "8 10 60 5 2" "8 3 60 5 3" "8 2 30 5 4" \
	   "8 10 60 200 5" "3 4 700 5 6"; do
	test_expect_success "entries, upstreams, seconds, delay ms, seed: $run" '
		test-crash $run >actual &&
		crash_bounds actual 2000
	'
done

for run in "8 2 60 5 7 stagger" "8 2 60 100 8 stagger" \
	   "8 4 60 100 9 stagger"; do
	test_expect_success "entries receive the request one after another: $run" '
		test-crash $run >actual &&
		crash_bounds actual 4000
	'
done

test_expect_success 'without the lists the request takes down all upstreams' '
	test-crash 8 10 20 5 1 naive >actual &&
	awk "{ exit !(\$2 == 10 && \$4 > 20) }" actual
'

test_done
