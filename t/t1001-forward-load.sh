#!/bin/sh

test_description='choice and admission under load, against a naive version'

. "$(dirname "$0")/test-lib.sh"

for script in "$TEST_DIR"/t1001/*.run; do
	name=$(basename "$script" .run)
	test_expect_success "$name" "
		test-forward-load '$script' >actual &&
		test_cmp '$TEST_DIR/t1001/$name.expect' actual
	"
done

test_done
