#!/bin/sh
# Long run of the history check of t0530: CALLS calls under ROUNDS rounds of
# faults (agents and entries killed, stopped and partitioned, upstreams
# crashed, blackholed and failing).  Prints the output of the checker and fails
# on a violation.

top=$(cd "$(dirname "$0")/../.." && pwd)
CALLS=${CALLS:-125000} RATE=${RATE:-1200} ROUNDS=${ROUNDS:-7} \
	SEED=${SEED:-9} ANSWERED=${ANSWERED:-0.5} sh "$top/t/t0530-history.sh"
status=$?
cat "$top/t/trash/${FLAVOR:-release}/t0530-history/case-2.log"
exit $status
