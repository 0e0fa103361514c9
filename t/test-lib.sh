# Library for all numbered tests.  A test script sets $test_description,
# sources this file, calls test_expect_success for each case and ends with
# test_done.  Each script has its own trash directory and its own loopback
# network $TEST_NET (the first three bytes of an address).

TEST_DIR=$(cd "$(dirname "$0")" && pwd)
TEST_DIR=${TEST_DIR%/perf}
TOP=$(cd "$TEST_DIR/.." && pwd)
FLAVOR=${FLAVOR:-release}
BIN=$TOP/build/$FLAVOR
PATH=$BIN:$BIN/t:$PATH
export TOP BIN PATH
TEST_NAME=$(basename "$0" .sh)
TRASH=$TOP/t/trash/$FLAVOR/$TEST_NAME
test_number=$(expr "$TEST_NAME" : '[tp]0*\([0-9]*\)')
# Checkouts whose tests run on one machine at the same time need different
# offsets, so that they don't share addresses.
test_number=$((test_number + ${TEST_NET_OFFSET:-0}))
case "$TEST_NAME" in p*) test_number=$((test_number + 20000)) ;; esac
TEST_NET=127.$((10 + test_number / 250 % 240)).$((1 + test_number % 250))
SQ="'"
test_count=0
test_failed=0

rm -rf "$TRASH"
mkdir -p "$TRASH"
cd "$TRASH" || exit 1

# process_start PID: prints when the process started, in clock ticks, unless it
# has ended.
process_start () {
	process_stat=$(cat "/proc/$1/stat" 2>/dev/null) || return 1
	set -- ${process_stat##*) }
	test "$1" != Z || return 1
	echo "${20}"
}

# record_process NAME PID: notes a process for stop_all. Its start is noted too,
# since its ID may be another process's later.
record_process () {
	echo "$2" >"$1.pid"
	process_start "$2" >"$1.since"
}

# start NAME COMMAND...: runs COMMAND in the background with its output in
# NAME.out and NAME.err and its process ID in NAME.pid.
start () {
	start_name=$1
	shift
	"$@" >"$start_name.out" 2>"$start_name.err" &
	record_process "$start_name" $!
}

# started_pids: prints the IDs of the noted processes that run. It uses files, as
# a case runs in a subshell, whose variables are lost.
started_pids () {
	for pid_file in "$TRASH"/*.pid; do
		test -f "$pid_file" || continue
		started_since=$(process_start "$(cat "$pid_file")") || continue
		test "$started_since" = "$(cat "${pid_file%.pid}.since")" &&
			cat "$pid_file"
	done
	return 0
}

# signal_started SIGNAL: sends it to the noted processes that run.
signal_started () {
	for signal_pid in $(started_pids); do
		kill -"$1" "$signal_pid" 2>/dev/null
	done
}

# stop_all: stops all processes started with "start", with SIGTERM and after
# 5 s with SIGKILL.
stop_all () {
	signal_started CONT
	signal_started TERM
	stop_tries=0
	while test $stop_tries -lt 50 && test -n "$(started_pids)"; do
		sleep 0.1
		stop_tries=$((stop_tries + 1))
	done
	signal_started KILL
	rm -f "$TRASH"/*.pid
	wait 2>/dev/null
}

# wait_until SECONDS COMMAND...: runs COMMAND every 0.1 s until it succeeds;
# fails after 10 runs per second of time-out, and says what it waited for.
wait_until () {
	wait_tries=$(($1 * 10))
	shift
	while ! "$@" >/dev/null 2>&1; do
		wait_tries=$((wait_tries - 1))
		if test $wait_tries -le 0; then
			echo "waited in vain: $*" >&2
			return 1
		fi
		sleep 0.1
	done
}

test_cmp () {
	diff -u "$1" "$2"
}

# test_expect_success DESCRIPTION SCRIPT: runs one test case and reports the
# result as TAP.  A failure that is listed in KNOWN-RED.txt is reported as ok
# with the comment KNOWN-RED.
test_expect_success () {
	test_count=$((test_count + 1))
	if (eval "set -e
$2") >"case-$test_count.log" 2>&1; then
		echo "ok $test_count - $1"
	elif test -f "$TOP/KNOWN-RED.txt" &&
	     grep -qF "$TEST_NAME.$test_count " "$TOP/KNOWN-RED.txt"; then
		echo "ok $test_count - $1 # KNOWN-RED"
	else
		test_failed=$((test_failed + 1))
		echo "not ok $test_count - $1"
		sed 's/^/# /' "case-$test_count.log" | tail -40
	fi
}

test_done () {
	stop_all
	echo "1..$test_count"
	test $test_failed = 0 || exit 1
	exit 0
}

trap 'stop_all' EXIT
trap 'exit 1' INT TERM
