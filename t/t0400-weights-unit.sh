#!/bin/sh

test_description='manifests, placement, activation, pacing, hints'

. "$(dirname "$0")/test-lib.sh"

test_expect_success 'the unit suite of the weights' 'test-weights'

test_expect_success 'a manifest names its chunks and its own digest' '
	head -c 10000 /dev/zero >model.bin
	limpetctl manifest --model m --version 1 --chunk-size 4096 model.bin >m.json
	test "$(jq ".chunks | length" m.json)" = 3
	test "$(jq -r .source m.json)" = model.bin
	test "$(jq -r ".chunks[2]" m.json)" = \
		"$(tail -c 1808 model.bin | sha256sum | cut -d" " -f1)"
'

test_expect_success 'a wrong command line exits 2, an empty file 1' '
	{ limpetctl manifest model.bin; test $? = 2; } 2>err
	>empty.bin
	{ limpetctl manifest --model m --version 1 empty.bin; test $? = 1; } 2>err
	grep "the file is empty" err
'

test_done
