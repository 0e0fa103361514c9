#!/bin/sh

test_description='which attempts are given up, and what becomes of the places for the next ones

Guards against answers that are broken off while their upstream is at work, as
their attempt is given up and no other upstream goes on.'

. "$(dirname "$0")/test-lib.sh"

# run_script NAME DESCRIPTION
run_script () {
	test_expect_success "$2" "
		test-cancel '$TEST_DIR/t1029/$1.run' >actual &&
		test_cmp '$TEST_DIR/t1029/$1.expect' actual
	"
}

run_script order 'an order waits: a stream is moved only to a place'
run_script silence 'silence: an attempt is replaced only by a place'
run_script plain 'the same for answers that are no streams'
run_script few-slots 'as many are moved as there are slots and retries'
run_script entries 'entries move at different times'
run_script places 'what of a place is not used is given back'
run_script release-use 'places at upstreams of an old and of the new release'
run_script not-resumable 'an answer that none can continue is not given up'
run_script release-places 'two places at one upstream whose release expires'
run_script queued-place 'silence: a place in a queue is none for an answer that has begun'
run_script probation 'an upstream on probation hides no other place'
run_script retry-unsent 'the retry of an attempt that was not sent is counted once'
run_script retry-lost 'the retry of a place that is lost is given back'
run_script blamed 'an answer that is blamed is not given up: it may run nowhere else'
run_script late-bytes 'bytes of an attempt that was given up begin no answer'
run_script time-left 'silence: no place where the answer would not end'
run_script stalled 'a pause of this process is no silence of its upstreams'
run_script returns 'an upstream that refused a waiting answer may take it later'
run_script refusals 'refusals do not end an answer that has begun while tries are left'
run_script silent-both 'two upstreams that are silent at once take over nothing from each other'

test_done
