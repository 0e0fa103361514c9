#!/bin/sh

test_description='choice of an upstream, and parser of event streams'
. "$(dirname "$0")/test-lib.sh"

for seed in 1 2 3; do
	test_expect_success "chooses like the reference implementation, seed $seed" '
		test-calls-route differential '$seed'
	'
done

test_expect_success 'calls are spread over two idle upstreams' '
	test-calls-route ties
'

test_expect_success 'waits are shorter than with random and round robin, reports 1 s old' '
	test-calls-route policies 0.55 &&
	test-calls-route policies 0.7
'

test_expect_success 'an event stream parses the same wherever it is split' '
	test-sse
'

test_done
