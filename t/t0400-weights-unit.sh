#!/bin/sh

test_description='manifests, placement, activation, pacing, hints'

. "$(dirname "$0")/test-lib.sh"

test_expect_success 'unit tests of the weights component' 'test-weights'

test_expect_success 'unit tests of pace, hints and the cache of chunks' 'test-weights-parts'

test_expect_success 'an order to load is sent soon after it is decided, or not' '
	test-engine-order
'

test_expect_success 'limpetctl manifest lists the digests of all chunks' '
	head -c 10000 /dev/zero >model.bin
	limpetctl manifest --model m --version 1 --chunk-size 4096 model.bin >m.json
	test "$(jq ".chunks | length" m.json)" = 3
	test "$(jq -r .source m.json)" = model.bin
	test "$(jq -r ".chunks[2]" m.json)" = \
		"$(tail -c 1808 model.bin | sha256sum | cut -d" " -f1)"
'

test_expect_success 'limpetctl manifest exits 2 on a usage error, 1 on an empty file' '
	{ limpetctl manifest model.bin; test $? = 2; } 2>err
	>empty.bin
	{ limpetctl manifest --model m --version 1 empty.bin; test $? = 1; } 2>err
	grep "the file is empty" err
'

test_done
