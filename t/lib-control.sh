# Library for the tests of configuration and membership; sourced after
# t/test-lib.sh and t/fleet-lib.sh.  Starts control-node processes, which run
# only these two components.

# control_stop_all: kills all processes by their pid files; the shell does not
# know processes that were started in the subshell of a test case.
control_stop_all () {
	signal_started CONT
	signal_started KILL
	stop_all
}

trap 'control_stop_all' EXIT

# control_start NAME ROLE DATA_CENTER ADDRESS
control_start () {
	if test "$2" = agent; then
		agent_settings "$1" "$3" "$4" plain >"$1.json"
	else
		entry_settings "$1" "$3" "$4" >"$1.json"
	fi
	start "$1" control-node "$2" --settings "$1.json"
}

# control_add NAME ROLE DATA_CENTER ADDRESS: like control_start, and adds the
# instance to the instance list.
control_add () {
	if test "$2" = agent; then
		instance_add "$1" agent "$3" "$4" "$1"
	else
		instance_add "$1" entry "$3" "$4"
	fi
	control_start "$@"
}

# control_kill NAME: sends SIGKILL to a process.
control_kill () {
	kill -KILL "$(cat "$1.pid")"
}

# document REVISION [CONCURRENT]: prints a small valid document.
document () {
	printf '{"revision":%d,"fleet":{"budget":{"concurrent":%d}},"accounts":[{"account":"adubo","services":[{"name":"billing","upstreams":["*"],"operations":[{"name":"charge"}]}]}]}' \
		"$1" "${2:-100}"
}

publish () {
	document "$@" >document.json &&
	fleet_publish_config document.json || {
		echo "not published: $*" >&2
		return 1
	}
}

status () {
	curl -s -m 2 "http://$1:7102/status"
}

# revision ADDRESS: prints the revision in force at ADDRESS, 0 for none.
revision () {
	status "$1" | jq .config.revision
}

# revision_is REVISION ADDRESS...: succeeds if REVISION is in force at each
# address.
revision_is () {
	is_revision=$1
	shift
	for is_address; do
		test "$(revision "$is_address")" = "$is_revision" || return 1
	done
}

# member_state ADDRESS ID: prints the state of instance ID at ADDRESS.
member_state () {
	status "$1" | jq -r --arg id "$2" \
		'.members.instances[] | select(.id == $id) | .state'
}

# has_member ADDRESS ID: the process knows the member, in whatever state.
has_member () {
	test -n "$(member_state "$1" "$2")"
}

# member_state_is ADDRESS ID STATE
member_state_is () {
	test "$(member_state "$1" "$2")" = "$3"
}

# member_state_is_all STATE ID ADDRESS...: succeeds if instance ID has that
# state at each address.
member_state_is_all () {
	all_state=$1
	all_id=$2
	shift 2
	for all_address; do
		member_state_is "$all_address" "$all_id" "$all_state" || return 1
	done
}

ready () {
	test "$(curl -s -o /dev/null -w '%{http_code}' \
		"http://$1:7102/ready")" = 200
}

fault () {
	curl -s -f -X POST -d "$1" $PLATFORM_URL/standin/fault >/dev/null
}

# cut_off ADDRESS [PREFIX...]: partitions the process at ADDRESS from all
# addresses that start with a prefix; without a prefix, ends the partition.
cut_off () {
	cut_address=$1
	shift
	curl -s -f -X POST -d "$(printf '%s\n' "$@" | jq -R . | jq -cs \
		'map(select(. != ""))')" \
		"http://$cut_address:7102/cut" >/dev/null
}

# revisions_increase ADDRESS...: succeeds if the revisions that each process
# had in force are strictly increasing; says which ones of a process aren't. No
# answer is a failure too, for which jq 1.6 needs "input".
revisions_increase () {
	for increase_address; do
		status "$increase_address" | jq -n -e 'input.config.changes |
			map(.revision) | . == (sort | unique)' >/dev/null || {
			echo "revisions at $increase_address:" \
				$(status "$increase_address" |
				jq -c .config.changes) >&2
			return 1
		}
	done
}
