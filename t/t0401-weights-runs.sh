#!/bin/sh

test_description='simulated distribution runs, compared with fetching all from the origin'

. "$(dirname "$0")/test-lib.sh"

for script in "$TEST_DIR"/t0401/*.run; do
	name=$(basename "$script" .run)
	test_expect_success "$name" "
		test-weights-run '$script' >actual || cat actual
		test_cmp '$TEST_DIR/t0401/$name.expect' actual
	"
done

test_expect_success 'other seeds give complete copies within the limit' '
	for seed in 101 102 103 104 105; do
		sed "s/^fleet .*/fleet 3 5 64 $seed/" \
			"$TEST_DIR/t0401/cut-half.run" >seeded.run
		test-weights-run seeded.run >actual || cat actual
		test_cmp "$TEST_DIR/t0401/cut-half.expect" actual
	done
'

test_done
