#!/bin/sh

test_description='the choice of an upstream, and the reader of event streams'
. "$(dirname "$0")/test-lib.sh"

for seed in 1 2 3; do
	test_expect_success "chooses as the naive version does, seed $seed" '
		test-calls-route differential '$seed'
	'
done

test_expect_success 'two idle upstreams share the calls' '
	test-calls-route ties
'

test_expect_success 'waits less than random and round robin, reports 1 s old' '
	test-calls-route policies 0.55 &&
	test-calls-route policies 0.7
'

test_expect_success 'an event stream is read alike wherever it is cut' '
	test-calls-route streams
'

test_done
