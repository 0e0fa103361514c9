#!/bin/sh

test_description='which requests and parts are blamed for deaths of upstreams

t/helper/test-crash-infer.c runs a script of sent requests, sound answers and
deaths on the lists of some entries, in simulated time.  The first line of each
script says which failure it guards against.'

. "$(dirname "$0")/test-lib.sh"

for script in "$TEST_DIR"/t0710/*.run; do
	name=$(basename "$script" .run)
	test_expect_success "$name" "
		test-crash-infer '$script' >actual &&
		test_cmp '$TEST_DIR/t0710/$name.expect' actual
	"
done

test_done
